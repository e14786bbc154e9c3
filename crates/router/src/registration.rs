//! Keeps the registry of the fleet's routers, by which each router counts the fleet whatever seeds
//! it is configured with.
//!
//! The few routers that follow the source read the registry, add the routers that they hear, and
//! remove those that have left. The others learn from them how many routers there are.

use crate::availability::Availability;
use crate::backoff::Backoff;
use crate::events;
use crate::router::Router;
use mastbay_routing::Registrations;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks whether the registry must be read or changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum random delay before the first call. Meanwhile another router may have told what it reads.
const MAX_START_DELAY: Duration = Duration::from_millis(600);
/// First and longest backoff after failed or conflicting calls. Routers that have not met yet all
/// change the registry.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(3));

/// Result of writing the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryWrite {
    /// The registry was changed.
    Applied,
    /// It had been changed since it was read.
    Conflict,
}

/// Storage for the registry, shared by all routers.
#[expect(async_fn_in_trait, reason = "a router runs on one thread")]
pub trait RegistryStore {
    /// Error of a failed call.
    type Error: Display;

    /// Reads the registry. It is empty if it was never written.
    async fn read(&self) -> Result<Registrations, Self::Error>;

    /// Waits up to `wait` for a change of the registry after it was read by this store. Returns
    /// whether it may have changed.
    async fn wait_for_change(&self, wait: Duration) -> Result<bool, Self::Error>;

    /// Writes the registry on the condition that it is still at the revision of `registrations`.
    async fn write(&self, registrations: &Registrations) -> Result<RegistryWrite, Self::Error>;
}

/// Keeps the registry for as long as the router runs. `writes` has a connection of its own, as calls
/// on that of `reads` wait for changes.
pub async fn keep_registry<S: RegistryStore>(router: Rc<Router>, reads: S, writes: S) {
    router.dispatcher.borrow_mut().expect_registry();
    smol::future::zip(follow(&router, &reads), maintain(&router, &writes)).await;
}

async fn follow<S: RegistryStore>(router: &Router, store: &S) {
    let mut availability = Availability::new("registry");
    let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
    let mut is_read = false;
    router.until_following_source().await;
    router.runtime.sleep(MAX_START_DELAY.mul_f64(rand::random())).await;
    loop {
        until_reader(router).await;
        let result =
            if is_read { follow_changes(router, store).await } else { read(router, store).await };
        availability.observe(&result);
        match result {
            Ok(()) => {
                // The next call waits for a change of what was read.
                is_read = true;
                backoff.reset();
            }
            Err(_) => {
                is_read = false;
                router.runtime.sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Waits until this router is the one that reads the registry for all.
async fn until_reader(router: &Router) {
    router.until_following_source().await;
    while !router.dispatcher.borrow().reads_registry(router.now()) {
        router.runtime.sleep(CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
        router.until_following_source().await;
    }
}

async fn read<S: RegistryStore>(router: &Router, store: &S) -> Result<(), S::Error> {
    let began = router.now();
    let read = store.read().await?;
    events::registry_read(&read);
    router.dispatcher.borrow_mut().on_registry_read(router.now(), began, read);
    Ok(())
}

async fn follow_changes<S: RegistryStore>(router: &Router, store: &S) -> Result<(), S::Error> {
    let wait = router.dispatcher.borrow().registry_wait();
    let began = router.now();
    if store.wait_for_change(wait).await? {
        return read(router, store).await;
    }
    router.dispatcher.borrow_mut().on_registry_unchanged(began);
    Ok(())
}

async fn maintain<S: RegistryStore>(router: &Router, store: &S) {
    let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
    loop {
        let pause = CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
        router.runtime.sleep(pause).await;
        if !router.is_following_source() {
            continue;
        }
        let phase = router.phase();
        let update = router.dispatcher.borrow_mut().registry_update(router.now(), phase);
        let Some(update) = update else { continue };
        match store.write(&update).await {
            Ok(RegistryWrite::Applied) => {
                events::registry_written(&update);
                backoff.reset();
                // What was written is read before it is compared again.
                router.runtime.sleep(CHECK_INTERVAL).await;
            }
            Ok(RegistryWrite::Conflict) | Err(_) => {
                router.runtime.sleep(backoff.next_delay()).await
            }
        }
    }
}
