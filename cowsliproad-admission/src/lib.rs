//! Admission control: which requests may run, in which order, and how often a
//! request may be retried.
//!
//! * [`ticket`]: tokens that bind non-repeatable work to one agent process;
//! * [`register`]: an agent's record of the tickets submitted to it;
//! * [`queue`]: the order of queued requests, and which requests are rejected;
//! * [`patience`]: whether a stream that waited should still be started;
//! * [`limit`]: the rate limit that a target sets for all VMs together;
//! * [`memory`]: the account of the bytes that callers make a process hold;
//! * [`quarantine`]: crash-inducing requests, which are refused;
//! * [`budget`]: limits retries to a fraction of successes at one entry
//!   process;
//! * [`window`]: limits retries over a sliding window across all entry
//!   processes;
//! * [`retry_report`]: keeps that window for the next process at an address;
//! * [`members`]: the entry processes that share the budget;
//! * [`shared_budget`]: one entry process's part of that budget.
//!
//! The crate does no I/O and reads no clock: time is passed as an argument.

#![forbid(unsafe_code)]

pub mod budget;
pub mod limit;
pub mod members;
pub mod memory;
pub mod patience;
pub mod quarantine;
pub mod queue;
pub mod register;
pub mod retry_report;
pub mod shared_budget;
pub mod ticket;
pub mod window;
