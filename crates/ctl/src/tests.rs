//! Tests that reported results of an apply are correct under platform faults.

use crate::apply::{Applied, ApplyError, apply, read_current};
use crate::store::ObjectStore;
use bytes::Bytes;
use mastbay_configuration::{FleetConfiguration, Generation, KeyDigest, Root, Tenant};
use mastbay_node::ROOT_KEY;
use mastbay_object_store::{NotWritten, Object, Precondition, ReadError, WriteError};
use mastbay_types::{TenantName, Weight};
use mastbay_web::CallError;
use quickcheck::{TestResult, quickcheck};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Fault injected into one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The call has no effect and is rejected.
    Refused,
    /// The call has no effect and times out.
    Lost,
    /// A write takes effect without an answer; a read is stale.
    Half,
    /// A write takes effect only after the next call, and gives no answer now.
    Late,
}

type Versions = Vec<(u64, Bytes)>;

#[derive(Default)]
struct Contents {
    objects: BTreeMap<String, Versions>,
    late: Option<(String, Bytes, Precondition)>,
}

impl Contents {
    fn write(&mut self, key: &str, value: Bytes, required: Precondition) -> Option<u64> {
        let versions = self.objects.entry(key.to_owned()).or_default();
        let current = versions.last().map(|(version, _)| *version);
        let holds = match required {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        let next = current.unwrap_or(0) + 1;
        if holds {
            versions.push((next, value));
        }
        holds.then_some(next)
    }

    fn late_write_arrives(&mut self) {
        if let Some((key, value, required)) = self.late.take() {
            self.write(&key, value, required);
        }
    }
}

/// An object store with injected faults.
struct FaultyStore<'a> {
    contents: &'a RefCell<Contents>,
    faults: RefCell<Vec<Fault>>,
    pauses: RefCell<u32>,
}

impl<'a> FaultyStore<'a> {
    fn new(contents: &'a RefCell<Contents>, faults: Vec<Fault>) -> Self {
        Self { contents, faults: RefCell::new(faults), pauses: RefCell::new(0) }
    }

    fn next_fault(&self) -> Fault {
        self.faults.borrow_mut().pop().unwrap_or(Fault::None)
    }
}

impl ObjectStore for FaultyStore<'_> {
    async fn read(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let fault = self.next_fault();
        let mut contents = self.contents.borrow_mut();
        contents.late_write_arrives();
        let versions = contents.objects.get(key).map_or(&[][..], Vec::as_slice);
        let latest = match fault {
            Fault::Refused | Fault::Lost => return Err(ReadError::NoAnswer(CallError::TimedOut)),
            Fault::Half if versions.len() > 1 => versions.get(versions.len() - 2),
            _ => versions.last(),
        };
        Ok(latest.map(|(version, value)| Object { version: *version, value: value.clone() }))
    }

    async fn write(
        &self,
        key: &str,
        value: Bytes,
        required: Precondition,
    ) -> Result<u64, WriteError> {
        let fault = self.next_fault();
        let mut contents = self.contents.borrow_mut();
        contents.late_write_arrives();
        match fault {
            Fault::None => contents.write(key, value, required).ok_or(WriteError::Conflict),
            Fault::Refused => Err(WriteError::NotWritten(NotWritten::Refused(
                hyper::StatusCode::TOO_MANY_REQUESTS,
            ))),
            Fault::Lost => Err(WriteError::Unknown(CallError::TimedOut)),
            Fault::Half => {
                contents.write(key, value, required);
                Err(WriteError::Unknown(CallError::TimedOut))
            }
            Fault::Late => {
                contents.late = Some((key.to_owned(), value, required));
                Err(WriteError::Unknown(CallError::TimedOut))
            }
        }
    }

    async fn pause(&self) -> bool {
        *self.pauses.borrow_mut() += 1;
        *self.pauses.borrow() < 4
    }
}

fn configuration(tenant: &str) -> FleetConfiguration {
    let mut configuration = FleetConfiguration::default();
    let keys = vec![KeyDigest::of(tenant)];
    let declared = Tenant { weight: Weight::ONE, keys, most_waiting: 1 };
    configuration.tenants.insert(TenantName::from(tenant), declared);
    configuration
}

fn accepted_root(contents: &RefCell<Contents>) -> Option<Root> {
    let contents = contents.borrow();
    let (_, value) = contents.objects.get(ROOT_KEY)?.last()?;
    serde_json::from_slice(value).ok()
}

#[test]
fn of_two_concurrent_applies_one_is_accepted_and_the_other_conflicts() {
    smol::block_on(async {
        let contents = RefCell::default();
        let store = FaultyStore::new(&contents, Vec::new());
        let (first, second) = (read_current(&store).await, read_current(&store).await);
        let (first, second) = (first.expect("read"), second.expect("read"));
        let won = apply(&store, &first, &configuration("ghats"), "one".to_owned()).await;
        assert_eq!(won.expect("accepted"), Applied::Accepted(Generation(1)));
        let lost = apply(&store, &second, &configuration("rangers"), "two".to_owned()).await;
        let Err(ApplyError::Conflict { found, change }) = lost else { panic!("{lost:?}") };
        assert_eq!(found, Generation(1));
        assert_eq!(change[0].to_string(), "added tenant ghats");
    });
}

#[test]
fn applying_the_same_again_writes_nothing() {
    smol::block_on(async {
        let contents = RefCell::default();
        let store = FaultyStore::new(&contents, Vec::new());
        for expected in [Applied::Accepted(Generation(1)), Applied::Unchanged(Generation(1))] {
            let current = read_current(&store).await.expect("read");
            let applied = apply(&store, &current, &configuration("ghats"), "id".to_owned()).await;
            assert_eq!(applied.expect("applied"), expected);
        }
    });
}

fn faults(numbers: &[u8]) -> Vec<Fault> {
    let kinds = [Fault::None, Fault::Refused, Fault::Lost, Fault::Half, Fault::Late];
    numbers.iter().map(|number| kinds[usize::from(*number) % kinds.len()]).collect()
}

quickcheck! {
    /// Under any faults, a change reported as accepted is in the root's history, and one reported
    /// as not accepted never will be.
    fn reports_are_correct(first: Vec<u8>, second: Vec<u8>, between: Vec<u8>) -> TestResult {
        smol::block_on(async {
            let contents = RefCell::default();
            let faultless = FaultyStore::new(&contents, Vec::new());
            let start = read_current(&faultless).await.expect("read");
            apply(&faultless, &start, &configuration("start"), "start".to_owned())
                .await
                .expect("applied");
            let current = read_current(&faultless).await.expect("read");
            // Another operator may apply a change to the same base.
            if between.len() % 2 == 1 {
                let store = FaultyStore::new(&contents, faults(&between));
                let _ = apply(&store, &current, &configuration("other"), "other".to_owned()).await;
            }
            let store = FaultyStore::new(&contents, faults(&first));
            let result = apply(&store, &current, &configuration("mine"), "mine".to_owned()).await;
            // Late writes arrive and another operator applies a change.
            contents.borrow_mut().late_write_arrives();
            let later = FaultyStore::new(&contents, faults(&second));
            if let Ok(now) = read_current(&later).await {
                let _ = apply(&later, &now, &configuration("later"), "later".to_owned()).await;
            }
            contents.borrow_mut().late_write_arrives();
            let included = accepted_root(&contents).is_some_and(|root| root.includes("mine"));
            match result {
                Ok(Applied::Accepted(_)) => TestResult::from_bool(included),
                Ok(Applied::Unchanged(_)) => TestResult::failed(),
                Err(ApplyError::Conflict { .. } | ApplyError::NotWritten { .. }) => {
                    TestResult::from_bool(!included)
                }
                Err(_) => TestResult::passed(),
            }
        })
    }
}
