//! How processes reach one another: HTTP servers that stop when told to, an
//! HTTP client, the authenticated links between entries and agents, and
//! metrics.
//!
//! Everything that speaks a protocol is a library's; what stands here is how
//! the programs share it.

#![forbid(unsafe_code)]

pub mod client;
pub mod hooked;
pub mod link;
pub mod metrics;
pub mod program;
pub mod reply;
pub mod retry_after;
pub mod server;
pub mod single;
pub mod threads;
