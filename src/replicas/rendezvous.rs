/// The weight of a pair of digests: among several, all processes see the same one weigh most for a given other.
pub(super) fn rendezvous(one: u64, other: u64) -> u64 {
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (one ^ other).wrapping_mul(SPREAD);
    (mixed ^ (mixed >> 32)).wrapping_mul(SPREAD)
}
