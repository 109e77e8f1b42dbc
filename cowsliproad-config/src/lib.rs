//! The configuration: its objects, and the fold that makes it from the log.
//!
//! Every replica folds the same records in offset order with the same
//! function, so all agree without talking to each other. A record names the
//! revision of the object that it was based on. When operators race, the
//! first record in the log wins and all replicas refuse the second alike.
//! The base is per object rather than one for the whole configuration, so
//! that 40,000 changes a day to unrelated objects never refuse one another.

#![forbid(unsafe_code)]

pub mod fold;
pub mod object;

pub use fold::{Record, State};
pub use object::Object;
