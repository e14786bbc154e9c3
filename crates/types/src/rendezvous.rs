//! Rendezvous hashing: all processes rank the candidates for a key in the same order, and the loss
//! of a candidate moves only the keys that it owned.

use std::hash::Hasher;

/// Offset basis of 64-bit FNV-1a. Processes of all builds must agree on hashes, which the hasher of
/// the standard library does not guarantee.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

struct StableHasher(u64);

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        // FNV alone maps similar inputs to similar hashes.
        mix(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Returns a hash of `parts` that is the same in every process and build.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = StableHasher(FNV_OFFSET);
    for part in parts {
        hasher.write(part);
        hasher.write(&[0xff]);
    }
    hasher.finish()
}

/// Returns the upper half of [`stable_hash`], for compact identifiers in messages.
pub fn short_hash(parts: &[&[u8]]) -> u32 {
    (stable_hash(parts) >> 32) as u32
}

/// Combines two hashes; the result is the same in every process and build. Cheaper than
/// [`stable_hash`].
pub fn mixed_hash(left: u64, right: u64) -> u64 {
    mix(left.wrapping_mul(FNV_PRIME) ^ right)
}

/// Finalizer of MurmurHash3: maps similar values to unrelated ones.
fn mix(value: u64) -> u64 {
    let mut mixed = value;
    mixed ^= mixed >> 33;
    mixed = mixed.wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^= mixed >> 33;
    mixed = mixed.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Sorts `candidates` in rendezvous order for `key`: the first owns the key, the next is its
/// successor.
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

/// Returns whether `left` precedes `right` in rendezvous order for `key`.
pub fn ranks_before(key: &str, left: &crate::ProcessId, right: &crate::ProcessId) -> bool {
    left != right && by_rendezvous(key, [left, right])[0] == left
}

impl crate::CellId {
    /// Returns the key that ranks the schedulers of the cell.
    pub fn rendezvous_key(&self) -> String {
        format!("cell/{self}")
    }
}

impl AsRef<str> for crate::ProcessId {
    fn as_ref(&self) -> &str {
        self.as_str()
    }
}
