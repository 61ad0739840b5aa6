//! What an instance knows of the store, and when it reads the store itself.
//!
//! * [`StoreAnswers`] tells how old that knowledge is.
//! * [`JoinTimer`] draws the time at which an instance begins to watch the store because its
//!   knowledge is too old.

mod answers;
mod joining;

pub use answers::{StoreAnswer, StoreAnswers};
pub use joining::{JoinLimits, JoinTimer};
