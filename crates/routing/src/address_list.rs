//! How a list of routers' addresses is written in messages.
//!
//! The routers of a fleet listen on one port, and most messages between them pass some addresses on: a greeting thirty of them, which
//! were 392 of its 471 bytes. All that start greet each other, so this grows with the square of the fleet.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::net::{Ipv4Addr, SocketAddr};

/// Addresses as they are written, in any order.
#[derive(Debug, Serialize, Deserialize)]
struct Written {
    /// The port of most of them.
    port: u16,
    /// Those of the fourth version with that port.
    hosts: Vec<u32>,
    /// The others.
    others: Vec<SocketAddr>,
}

/// Writes a list.
pub fn serialize<S: Serializer>(
    addresses: &[SocketAddr],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let port = addresses.first().map_or(0, SocketAddr::port);
    let mut written = Written { port, hosts: Vec::new(), others: Vec::new() };
    for address in addresses {
        match address {
            SocketAddr::V4(host) if host.port() == port => {
                written.hosts.push(u32::from(*host.ip()));
            }
            _ => written.others.push(*address),
        }
    }
    written.serialize(serializer)
}

/// Reads a list.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error> {
    let Written { port, hosts, others } = Written::deserialize(deserializer)?;
    let hosts = hosts.into_iter().map(|host| SocketAddr::from((Ipv4Addr::from(host), port)));
    Ok(hosts.chain(others).collect())
}
