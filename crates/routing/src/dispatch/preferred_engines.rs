//! The order in which back ends take requests with the same shared prefix, remembered for each prefix.

use super::Demand;
use super::engines::{Engines, ReadyEngine};
use crate::back_end::{BackEnd, BackEndId};
use crate::regions::AllowedRegions;
use crate::rollout::VersionFilter;
use mastbay_types::mixed_hash;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;

/// Prefixes remembered; past this all are forgotten and ranked anew.
const MAX_RANKINGS: usize = 8_192;
/// Back ends kept in the order of a prefix.
const MAX_RANKED: usize = 6;

/// Whose order it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RankingKey {
    service: Rc<str>,
    /// The shared prefix of a prompt.
    prefix: u64,
    /// Where the requests may be served.
    regions: AllowedRegions,
    /// The versions that may serve.
    release: VersionFilter,
}

/// Rankings made since the back ends changed last.
#[derive(Debug, Default)]
pub struct PreferredEngines {
    services: HashMap<String, Rc<str>>,
    rankings: HashMap<RankingKey, Ranking>,
}

/// The ranked back ends for one prefix.
#[derive(Debug)]
struct Ranking {
    back_ends: Rc<[BackEndId]>,
    /// The score of the last of them, if there are as many as are kept; one with a lower score does not stand among them.
    min_score: Option<u64>,
}

impl PreferredEngines {
    /// The back ends have changed.
    pub fn clear(&mut self) {
        self.rankings.clear();
    }

    /// A back end is gone: orders that hold it are made anew when they are asked for.
    pub fn on_removed(&mut self, id: &BackEndId) {
        self.rankings.retain(|_, ranking| !ranking.back_ends.contains(id));
    }

    /// A back end is new, or its state has changed. Orders in which it would stand and doesn't are made anew.
    pub fn on_set(&mut self, engines: &Engines, back_end: &BackEnd) {
        let Some(engine) = engines.get(&back_end.id) else { return };
        if !engine.accepts_work() {
            return self.on_removed(&back_end.id);
        }
        let name_hash = ReadyEngine::of(engine).name_hash;
        self.rankings.retain(|key, ranking| {
            let score = mixed_hash(key.prefix, name_hash);
            *key.service != *back_end.service
                || ranking.back_ends.contains(&back_end.id)
                || ranking.min_score.is_some_and(|min| min >= score)
        });
    }

    /// The ranked back ends for a demand with a prefix; the same at every router with the same list.
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
                let ranking = rank(engines, demand, &entry.key().release, prefix);
                entry.insert(ranking).back_ends.clone()
            }
        }
    }
}

fn rank(engines: &Engines, demand: &Demand, release: &VersionFilter, prefix: u64) -> Ranking {
    let is_unrestricted = demand.regions.is_unrestricted() && *release == VersionFilter::Any;
    let may_serve = |ready: &&ReadyEngine| {
        is_unrestricted
            || engines.get(&ready.id).is_some_and(|engine| {
                demand.regions.allow(engine.region.as_deref())
                    && release.allows(&engine.back_end.version)
            })
    };
    let mut ranked: Vec<(u64, &BackEndId)> = Vec::with_capacity(MAX_RANKED + 1);
    for ready in engines.ready(&demand.service).iter().filter(may_serve) {
        let score = mixed_hash(prefix, ready.name_hash);
        if ranked.len() == MAX_RANKED && ranked.last().is_some_and(|(last, _)| *last >= score) {
            continue;
        }
        let index = ranked.partition_point(|(earlier, _)| *earlier >= score);
        ranked.insert(index, (score, &ready.id));
        ranked.truncate(MAX_RANKED);
    }
    let min_score = ranked.get(MAX_RANKED - 1).map(|(score, _)| *score);
    Ranking { back_ends: ranked.into_iter().map(|(_, id)| id.clone()).collect(), min_score }
}
