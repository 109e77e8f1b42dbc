//! The operators' thin client, as a library for the bench and the tests.
//!
//! * [`client`]: one call for each thing an operator does;
//! * [`apply`]: brings the configuration to what a file says;
//! * [`show`]: tables and JSON.

#![forbid(unsafe_code)]

pub mod apply;
pub mod client;
pub mod show;
