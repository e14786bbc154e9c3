//! Rendezvous hashing: every process orders the same candidates for a key in the same way, and
//! the loss of one candidate moves only the keys that it held.

use std::hash::Hasher;

/// FNV-1a offset basis and prime for 64 bits. A fixed function is needed since all processes,
/// of any build, must agree; the standard library's hasher promises no such stability.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

struct StableHasher(u64);

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        // A final mix, since FNV alone leaves similar inputs close together.
        mix(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// A hash of `parts` that is the same in every process and build.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = StableHasher(FNV_OFFSET);
    for part in parts {
        hasher.write(part);
        hasher.write(&[0xff]);
    }
    hasher.finish()
}

/// The same in fewer bytes, for names in messages.
pub fn short_hash(parts: &[&[u8]]) -> u32 {
    (stable_hash(parts) >> 32) as u32
}

/// A hash of two hashes that is the same in every process and build, where many pairs are compared.
pub fn mixed_hash(left: u64, right: u64) -> u64 {
    mix(left.wrapping_mul(FNV_PRIME) ^ right)
}

/// Spreads similar values, as the last step of MurmurHash3 does.
fn mix(value: u64) -> u64 {
    let mut mixed = value;
    mixed ^= mixed >> 33;
    mixed = mixed.wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^= mixed >> 33;
    mixed = mixed.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// `candidates` in rendezvous order for `key`: the first holds the key, the next is its successor.
pub fn by_rendezvous<'a, C: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a C>,
) -> Vec<&'a C> {
    let mut scored: Vec<(u64, &C)> = candidates
        .into_iter()
        .map(|candidate| (stable_hash(&[key.as_bytes(), candidate.as_ref().as_bytes()]), candidate))
        .collect();
    scored.sort_by(|(left, left_name), (right, right_name)| {
        right.cmp(left).then_with(|| left_name.as_ref().cmp(right_name.as_ref()))
    });
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Whether `left` comes before `right` in rendezvous order for `key`.
pub fn ranks_before(key: &str, left: &crate::ProcessId, right: &crate::ProcessId) -> bool {
    left != right && by_rendezvous(key, [left, right])[0] == left
}

impl crate::CellId {
    /// The key for the rendezvous order of the cell's schedulers.
    pub fn rendezvous_key(&self) -> String {
        format!("cell/{self}")
    }
}

impl AsRef<str> for crate::ProcessId {
    fn as_ref(&self) -> &str {
        self.as_str()
    }
}
