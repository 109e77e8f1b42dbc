//! Configuration objects, and the fold that computes the configuration from
//! the records of the configuration log.
//!
//! Every replica folds the same records in offset order with the same
//! function, so all replicas agree without communication. A record names the
//! revision of the object that it is based on. When operators race, the first
//! record in the log wins and all replicas refuse the second. Revisions are
//! per object rather than for the whole configuration, so that changes to
//! unrelated objects, 40,000 a day, never refuse one another.

#![forbid(unsafe_code)]

pub mod fold;
pub mod object;

pub use fold::{ConfigRecord, ConfigState};
pub use object::ConfigObject;
