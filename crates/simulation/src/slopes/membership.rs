//! Membership against the number of members.

use super::{name, resident};
use crate::event_queue::EventQueue;
use crate::network::CARRIER_BYTES;
use mastbay_membership::{Membership, MembershipConfig, Role, Transmit};
use mastbay_peer::Message;
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Prints the slope.
pub fn membership_slope() {
    println!("membership: members, bytes a second and messages a second of a process, CPU share");
    for members in [18, 90, 180, 360, 720] {
        let figures = membership(members, Duration::from_secs(20));
        println!(
            "{members:>6} {:>8.0} {:>6.1} {:>9.5}% {:>8.0} B of state",
            figures.bytes,
            figures.messages,
            figures.cpu * 100.0,
            figures.state
        );
    }
}

struct MembershipFigures {
    bytes: f64,
    messages: f64,
    cpu: f64,
    state: f64,
}

/// Runs a steady fleet and counts what a process sends and receives a second.
fn membership(members: usize, span: Duration) -> MembershipFigures {
    let names: Vec<ProcessId> = (0..members).map(name).collect();
    let before = resident();
    let mut processes: Vec<Membership> = names
        .iter()
        .map(|process| {
            let config = MembershipConfig::default();
            let zone = Arc::from("zone");
            let mut membership =
                Membership::new(process.clone(), Role::Gateway, zone, Incarnation(1), config);
            membership.set_seeds(names[..members.min(18)].to_vec());
            membership
        })
        .collect();
    let index: std::collections::HashMap<ProcessId, usize> =
        names.iter().cloned().zip(0..).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut events: EventQueue<(usize, Option<(usize, Transmit)>)> = EventQueue::default();
    for process in 0..members {
        events.push(Timestamp::from_micros(process as u64 * 97), (process, None));
    }
    // The first part, in which members find each other and the news of that is passed on, is not
    // counted.
    let settle = Duration::from_secs(members as u64 / 2);
    let (mut bytes, mut messages, mut spent) = (0_u64, 0_u64, Duration::ZERO);
    let end = Timestamp::ZERO + settle + span;
    while let Some((now, (process, delivered))) = events.pop() {
        if now > end {
            break;
        }
        let counted = now > Timestamp::ZERO + settle;
        let began = Instant::now();
        let sent = match delivered {
            Some((from, transmit)) => processes[process].handle(now, &names[from], transmit.packet),
            None => {
                let sent = processes[process].handle_timeout(now, &mut random);
                events.push(processes[process].next_timeout(), (process, None));
                sent
            }
        };
        if counted {
            spent += began.elapsed();
        }
        for transmit in sent {
            if counted {
                let message = Message::Membership(transmit.packet.clone());
                let size = rmp_serde::to_vec(&message).map_or(0, |encoded| encoded.len() as u64);
                bytes += 2 * (size + CARRIER_BYTES);
                messages += 2;
            }
            if let Some(to) = index.get(&transmit.to) {
                events.push(now + Duration::from_millis(2), (*to, Some((process, transmit))));
            }
        }
    }
    let state = resident().saturating_sub(before) as f64 / members as f64;
    let process_seconds = span.as_secs_f64() * members as f64;
    MembershipFigures {
        bytes: bytes as f64 / process_seconds,
        messages: messages as f64 / process_seconds,
        cpu: spent.as_secs_f64() / process_seconds,
        state,
    }
}
