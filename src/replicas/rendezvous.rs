/// The weight of a pair of hashes in rendezvous hashing: for a given hash, all processes find the
/// same one of several candidates to have the highest weight.
pub(crate) fn rendezvous_weight(one: u64, other: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (one ^ other).wrapping_mul(MULTIPLIER);
    (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER)
}
