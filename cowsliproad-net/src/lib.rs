//! Networking code that the programs share: HTTP servers with a graceful
//! stop, HTTP clients, authenticated links between entry processes and agents,
//! and metrics.
//!
//! External libraries implement the protocols; this crate contains only the
//! code around them that several programs need.

#![forbid(unsafe_code)]

pub mod body;
pub mod client;
pub mod hooked;
pub mod link;
pub mod metrics;
pub mod program;
pub mod reply;
pub mod retry_after;
pub mod server;
pub mod signals;
pub mod single;
pub mod status;
pub mod tcp;
pub mod threads;
pub mod timer;
