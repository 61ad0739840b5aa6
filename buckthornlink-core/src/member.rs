//! Soft-state membership.
//!
//! Every [`Fact`] has one writer, the instance that it describes. A later fact wins over an
//! earlier one, so merging needs no agreement and any order of delivery gives the same
//! [`Members`]. An observer may mark an instance [`Phase::Silent`]; the instance refutes that by
//! publishing its fact with a higher sequence number.

mod digest;
mod fact;
mod table;
mod zone;

pub use digest::{BUCKET_COUNT, Digest};
pub use fact::{Fact, Load, Phase, Role};
pub use table::{Member, MemberKey, Members, Merge};
pub use zone::{ZoneRecord, ZoneTable};
