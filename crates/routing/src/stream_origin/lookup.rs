//! The search for a stream's origin at other routers.

use super::messages::{OriginAnswer, OriginQuery, StreamOrigin};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How a stream's origin was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum OriginSource {
    /// This router has a record.
    #[display("own")]
    Own,
    /// Another router has a record.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// No other origin was possible.
    #[display("only_version")]
    OnlyVersion,
}

/// The state of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupState {
    /// The origin is known.
    Found {
        /// The origin.
        origin: StreamOrigin,
        /// How it was learned.
        source: OriginSource,
        /// Age of the record; zero without one.
        age: Duration,
    },
    /// Several origins were reported.
    Conflicting,
    /// Some of the routers that were asked have not answered.
    Pending,
    /// All routers that were asked have answered, and none knows the origin.
    NotFound,
}

/// A search that asks other routers for the origin of a stream.
#[derive(Debug)]
pub struct OriginLookup {
    /// What this router itself would answer.
    own: OriginAnswer,
    /// The routers that were asked, with their last answers.
    answers: BTreeMap<SocketAddr, Option<OriginAnswer>>,
}

impl OriginLookup {
    /// Begins a search at `asked`. `own` is what this router itself knows.
    pub fn new(own: OriginAnswer, asked: &[SocketAddr]) -> Self {
        Self { own, answers: asked.iter().map(|address| (*address, None)).collect() }
    }

    /// Records an answer. Those of routers that were not asked are ignored.
    pub fn on_answer(&mut self, from: SocketAddr, answer: OriginAnswer) {
        if let Some(known) = self.answers.get_mut(&from) {
            *known = Some(answer);
        }
    }

    /// Forgets the answers, as all routers are asked again. `own` is what this router knows now.
    pub fn ask_again(&mut self, own: OriginAnswer) {
        self.own = own;
        self.answers.values_mut().for_each(|answer| *answer = None);
    }

    /// Returns the routers that were asked.
    pub fn asked(&self) -> Vec<SocketAddr> {
        self.answers.keys().copied().collect()
    }

    /// Returns the number of routers that have answered.
    pub fn answered(&self) -> usize {
        self.answers.values().flatten().count()
    }

    /// Returns the number of routers that have answered that they have just started.
    pub fn starting(&self) -> usize {
        let starting = |answer: &&OriginAnswer| **answer == OriginAnswer::Starting;
        self.answers.values().flatten().filter(starting).count()
    }

    /// Returns whether asking again is of no use: a record may arrive late, but there is none of a
    /// stream that is not named.
    pub fn is_settled(&self, query: &OriginQuery) -> bool {
        self.answers.is_empty() || query.stream.is_none() && self.answered() > 0
    }

    /// Returns whether any router that was asked, or this one, has just started.
    pub fn is_any_starting(&self) -> bool {
        self.all().any(|answer| *answer == OriginAnswer::Starting)
    }

    /// Returns the state of the search. While it is pending, a record may still be found.
    pub fn state(&self) -> LookupState {
        if self.has_conflict() {
            return LookupState::Conflicting;
        }
        if let Some(found) = self.recorded() {
            return found;
        }
        if self.answers.values().any(Option::is_none) {
            return LookupState::Pending;
        }
        self.without_record()
    }

    /// Returns the result if no more answers are awaited.
    pub fn result(&self) -> LookupState {
        match self.state() {
            LookupState::Pending => self.without_record(),
            known => known,
        }
    }

    fn all(&self) -> impl Iterator<Item = &OriginAnswer> {
        self.answers.values().flatten().chain([&self.own])
    }

    /// Returns whether routers know different origins.
    fn has_conflict(&self) -> bool {
        let mut first = None;
        self.all().any(|answer| match answer {
            OriginAnswer::Conflicting => true,
            OriginAnswer::Recorded { origin, .. } => *first.get_or_insert(origin) != origin,
            OriginAnswer::NotRecorded { .. } | OriginAnswer::Starting => false,
        })
    }

    fn recorded(&self) -> Option<LookupState> {
        let found = |answer: &OriginAnswer, source| match answer {
            OriginAnswer::Recorded { origin, age_ms } => Some(LookupState::Found {
                origin: origin.clone(),
                source,
                age: Duration::from_millis(u64::from(*age_ms)),
            }),
            OriginAnswer::Conflicting
            | OriginAnswer::NotRecorded { .. }
            | OriginAnswer::Starting => None,
        };
        found(&self.own, OriginSource::Own).or_else(|| {
            let mut answers = self.answers.iter();
            answers.find_map(|(from, answer)| found(answer.as_ref()?, OriginSource::Peer(*from)))
        })
    }

    /// Returns the only origin that was possible, if one router has observed all of the time and no
    /// router that answered disagrees. Those that have just started have no view yet. Without any
    /// answer of the routers that were asked, this one may be out of touch.
    fn without_record(&self) -> LookupState {
        let is_in_touch = self.answers.is_empty() || self.answered() > 0;
        let only = self.all().find_map(|answer| match answer {
            OriginAnswer::NotRecorded { only, .. } => only.clone(),
            OriginAnswer::Recorded { .. } | OriginAnswer::Conflicting | OriginAnswer::Starting => {
                None
            }
        });
        let agrees = |answer: &OriginAnswer| match answer {
            OriginAnswer::NotRecorded { current, .. } => *current == only,
            OriginAnswer::Starting => true,
            OriginAnswer::Recorded { .. } | OriginAnswer::Conflicting => false,
        };
        match &only {
            Some(origin) if is_in_touch && self.all().all(agrees) => LookupState::Found {
                origin: origin.clone(),
                source: OriginSource::OnlyVersion,
                age: Duration::ZERO,
            },
            _ => LookupState::NotFound,
        }
    }
}
