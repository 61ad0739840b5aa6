//! Clock that keeps running while the machine is suspended.

use rustix::time::{ClockId, clock_gettime};

use buckthornlink_core::Millis;

/// Milliseconds since the machine booted, including time in suspension.
#[must_use]
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let millis = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    Millis(u64::try_from(millis).unwrap_or(0))
}
