//! Cached rendezvous order of back ends for each shared prompt prefix.

use super::engines::{Engines, ReadyEngine};
use crate::back_end::{BackEnd, BackEndId};
use crate::demand::Demand;
use crate::policy::RankingPolicy;
use crate::ranking::RankScore;
use crate::regions::AllowedRegions;
use crate::rollout::VersionFilter;
use mastbay_types::mixed_hash;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;

/// Cached rankings; when exceeded, the cache is cleared.
const MAX_RANKINGS: usize = 8_192;
/// Back ends kept in each ranking.
const MAX_RANKED: usize = 6;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RankingKey {
    service: Rc<str>,
    /// Hash of the prompt's shared prefix.
    prefix: u64,
    /// Regions in which the requests may be served.
    regions: AllowedRegions,
    /// Versions that may serve the requests.
    release: VersionFilter,
}

/// Rankings by service, prefix, regions and versions.
#[derive(Debug)]
pub struct PreferredEngines {
    policy: RankingPolicy,
    services: HashMap<String, Rc<str>>,
    rankings: HashMap<RankingKey, Ranking>,
}

/// The highest-ranked back ends of one key.
#[derive(Debug)]
struct Ranking {
    back_ends: Rc<[BackEndId]>,
    /// Score of the last one in a full ranking, after which a back end is not ranked. `None` if the
    /// ranking is not full.
    last_score: Option<RankScore>,
}

impl PreferredEngines {
    /// Creates an empty cache of rankings by `policy`.
    pub fn new(policy: RankingPolicy) -> Self {
        Self { policy, services: HashMap::new(), rankings: HashMap::new() }
    }

    /// Replaces the policy. Rankings by the earlier one are dropped.
    pub fn set_policy(&mut self, policy: RankingPolicy) {
        self.policy = policy;
        self.rankings.clear();
    }

    /// Drops all rankings.
    pub fn clear(&mut self) {
        self.rankings.clear();
    }

    /// Drops the rankings that contain a removed back end.
    pub fn on_removed(&mut self, id: &BackEndId) {
        self.rankings.retain(|_, ranking| !ranking.back_ends.contains(id));
    }

    /// Drops the rankings that a new or changed back end affects.
    pub fn on_set(&mut self, engines: &Engines, back_end: &BackEnd) {
        let Some(engine) = engines.get(&back_end.id) else { return };
        if !engine.accepts_work() {
            return self.on_removed(&back_end.id);
        }
        let (ready, policy) = (ReadyEngine::of(engine), self.policy);
        self.rankings.retain(|key, ranking| {
            *key.service != *back_end.service
                || ranking.back_ends.contains(&back_end.id)
                || ranking.excludes(policy, key.prefix, &ready)
        });
    }

    /// Drops the rankings that a changed speed of a back end affects: those that contain it and
    /// those that it now enters.
    pub fn on_speed(&mut self, engines: &Engines, id: &BackEndId) {
        let Some(engine) = engines.get(id).filter(|engine| engine.accepts_work()) else { return };
        let (ready, policy) = (ReadyEngine::of(engine), self.policy);
        self.rankings.retain(|key, ranking| {
            *key.service != *engine.back_end.service
                || (!ranking.back_ends.contains(id) && ranking.excludes(policy, key.prefix, &ready))
        });
    }

    /// Returns the preferred back ends for `demand` and `prefix`. Routers with the same list of
    /// back ends get the same order.
    pub fn of(
        &mut self,
        engines: &Engines,
        demand: &Demand,
        release: &VersionFilter,
        prefix: u64,
    ) -> Rc<[BackEndId]> {
        if self.rankings.len() > MAX_RANKINGS {
            self.rankings.clear();
        }
        let service = match self.services.get(&demand.service) {
            Some(service) => service.clone(),
            None => {
                let service: Rc<str> = Rc::from(demand.service.as_str());
                self.services.insert(demand.service.clone(), service.clone());
                service
            }
        };
        let (regions, release) = (demand.regions.clone(), release.clone());
        match self.rankings.entry(RankingKey { service, prefix, regions, release }) {
            Entry::Occupied(entry) => entry.get().back_ends.clone(),
            Entry::Vacant(entry) => {
                let ranking = rank(self.policy, engines, demand, &entry.key().release, prefix);
                entry.insert(ranking).back_ends.clone()
            }
        }
    }
}

impl Ranking {
    /// Returns whether a back end that is not in the ranking does not enter it.
    fn excludes(&self, policy: RankingPolicy, prefix: u64, ready: &ReadyEngine) -> bool {
        self.last_score.is_some_and(|last| score_before(policy, prefix, ready, last).is_none())
    }
}

/// Returns the position of a back end in the order of a prefix.
fn score(policy: RankingPolicy, prefix: u64, ready: &ReadyEngine) -> RankScore {
    let hash = mixed_hash(prefix, ready.name_hash);
    match policy {
        RankingPolicy::Plain => RankScore::plain(hash),
        RankingPolicy::Weighted => RankScore::weighted(hash, ready.weight),
    }
}

/// Returns the position of a back end if it precedes `last`.
fn score_before(
    policy: RankingPolicy,
    prefix: u64,
    ready: &ReadyEngine,
    last: RankScore,
) -> Option<RankScore> {
    let hash = mixed_hash(prefix, ready.name_hash);
    if policy == RankingPolicy::Weighted && last.certainly_precedes(hash, ready.weight) {
        return None;
    }
    Some(score(policy, prefix, ready)).filter(|score| *score < last)
}

fn rank(
    policy: RankingPolicy,
    engines: &Engines,
    demand: &Demand,
    release: &VersionFilter,
    prefix: u64,
) -> Ranking {
    let is_unrestricted = demand.regions.is_unrestricted() && *release == VersionFilter::Any;
    let may_serve = |ready: &&ReadyEngine| {
        is_unrestricted
            || engines.get(&ready.id).is_some_and(|engine| {
                demand.regions.allow(engine.region.as_deref())
                    && release.allows(&engine.back_end.version)
            })
    };
    let mut ranked: Vec<(RankScore, &BackEndId)> = Vec::with_capacity(MAX_RANKED + 1);
    for ready in engines.ready(&demand.service).iter().filter(may_serve) {
        let last = ranked.get(MAX_RANKED - 1).map(|(last, _)| *last);
        let score = match last {
            Some(last) => score_before(policy, prefix, ready, last),
            None => Some(score(policy, prefix, ready)),
        };
        let Some(score) = score else { continue };
        let index = ranked.partition_point(|(earlier, _)| *earlier <= score);
        ranked.insert(index, (score, &ready.id));
        ranked.truncate(MAX_RANKED);
    }
    let last_score = ranked.get(MAX_RANKED - 1).map(|(score, _)| *score);
    Ranking { back_ends: ranked.into_iter().map(|(_, id)| id.clone()).collect(), last_score }
}
