//! Soft-state membership.
//!
//! Each [`Fact`] is written by the instance that it describes, and a later fact supersedes an
//! earlier one. Merging therefore needs no consensus, and any order of delivery gives the same
//! [`Members`]. An observer may mark an instance [`Phase::Silent`]; the instance refutes this by
//! publishing its fact with a higher sequence number.

mod digest;
mod fact;
mod table;
mod zone;

pub use digest::{BUCKET_COUNT, Digest};
pub use fact::{Fact, Load, Phase, Role};
pub use table::{Member, MemberKey, Members, Merge};
pub use zone::{ZoneRecord, ZoneSeq, ZoneSnapshot, ZoneTable};
