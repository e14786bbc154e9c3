//! The order in which back ends take requests with the same shared prefix, remembered for each prefix.

use crate::back_end::BackEndId;
use crate::engine::Engine;
use mastbay_types::stable_hash;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Prefixes remembered; past this all are forgotten and ranked anew.
const MOST_REMEMBERED: usize = 8_192;
/// Back ends kept in the order of a prefix.
const RANKS_KEPT: usize = 6;

/// A service and the shared prefix of a prompt.
type Key = (Rc<str>, u64);

/// Rankings made since the back ends changed last.
#[derive(Debug, Default)]
pub struct PreferredEngines {
    services: HashMap<String, Rc<str>>,
    rankings: HashMap<Key, Rc<[BackEndId]>>,
}

impl PreferredEngines {
    /// The back ends have changed.
    pub fn clear(&mut self) {
        self.rankings.clear();
    }

    /// The first back ends of a service for a prefix; the same at every router with the same list.
    pub fn of(
        &mut self,
        engines: &BTreeMap<BackEndId, Engine>,
        service: &str,
        prefix: u64,
    ) -> Rc<[BackEndId]> {
        if self.rankings.len() > MOST_REMEMBERED {
            self.rankings.clear();
        }
        let name = self.services.entry(service.to_owned()).or_insert_with(|| Rc::from(service));
        let ranking = self.rankings.entry((name.clone(), prefix));
        ranking.or_insert_with(|| rank(engines, service, prefix)).clone()
    }
}

fn rank(engines: &BTreeMap<BackEndId, Engine>, service: &str, prefix: u64) -> Rc<[BackEndId]> {
    let key = prefix.to_be_bytes();
    let ready =
        engines.values().filter(|engine| engine.back_end.service == service && engine.takes_work());
    let mut ranked: Vec<(u64, &BackEndId)> = ready
        .map(|engine| &engine.back_end.id)
        .map(|id| (stable_hash(&[&key, id.name.as_bytes()]), id))
        .collect();
    ranked.sort_by_key(|(hash, _)| std::cmp::Reverse(*hash));
    ranked.into_iter().take(RANKS_KEPT).map(|(_, id)| id.clone()).collect()
}
