//! Admission: what may run, once, in which order, and how often it may be
//! tried again.
//!
//! * [`ticket`]: tokens that tie non-repeatable work to one agent process;
//! * [`register`]: that agent's record of the tickets it saw;
//! * [`queue`]: the order of waiting work and what is refused instead;
//! * [`patience`]: whether a stream that waited is still worth its start;
//! * [`limit`]: how many requests a second a target takes from all VMs;
//! * [`quarantine`]: work that ends the targets that run it;
//! * [`budget`]: the share of requests that may be retries.
//!
//! All is pure and takes the time as an argument.

#![forbid(unsafe_code)]

pub mod budget;
pub mod limit;
pub mod patience;
pub mod quarantine;
pub mod queue;
pub mod register;
pub mod ticket;
pub mod window;
