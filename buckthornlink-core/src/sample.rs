//! Random choices.

use rand_core::RngCore;

/// Keeps up to `count` random items, in random order.
pub(crate) fn keep_random<T>(items: &mut Vec<T>, count: usize, rng: &mut impl RngCore) {
    for i in 0..count.min(items.len()) {
        let rest = (items.len() - i) as u64;
        let offset = usize::try_from(rng.next_u64() % rest).unwrap_or(0);
        items.swap(i, i + offset);
    }
    items.truncate(count);
}
