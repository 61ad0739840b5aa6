//! Whether this process has seen the known boot of its backend server from its start on.

use super::BackendHeartbeat;
use crate::id::BootId;
use crate::time::Millis;

/// Sequence number of the heartbeat with which a backend server starts. A process that hears a later one
/// first may have a predecessor that admitted flows.
const FIRST_SEQ: u64 = 1;

/// Maximum time from the start of a backend server to that of this process at which no earlier process can have admitted a
/// flow: it would have had to hear a heartbeat, open the flow and end, and this one to start.
const JOINT_START_TIME: Millis = Millis(100);

/// Whether an earlier process may have admitted flows of the current boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Start {
    /// It may have: the boot began before this process.
    #[default]
    Unseen,
    /// It may not have: the boot began while this process ran.
    Seen,
    /// It may not have: the boot and this process started together, within [`JOINT_START_TIME`].
    Joint,
}

impl Start {
    /// What the first heartbeat of a boot that is heard here says; `is_first` if no other boot was heard before.
    pub(super) fn infer(
        heartbeat: &BackendHeartbeat,
        process_start: BootId,
        is_first: bool,
    ) -> Self {
        match began_with_process(heartbeat, process_start) {
            true if is_first => Self::Joint,
            true => Self::Seen,
            false if heartbeat.seq <= FIRST_SEQ => Self::Seen,
            false => Self::Unseen,
        }
    }
}

/// Whether a boot began together with the process that started at this time of day, or later.
fn began_with_process(heartbeat: &BackendHeartbeat, process_start: BootId) -> bool {
    let began = heartbeat.born.filter(|_| heartbeat.is_start());
    began.is_some_and(|born| born + JOINT_START_TIME.0 >= process_start.0)
}
