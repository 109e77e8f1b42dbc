//! Code that all cowsliproad programs share: time, names, result codes,
//! settings, logs, the plug-in registry and the messages between processes.
//!
//! This crate performs no network I/O and makes no decisions. The crates that
//! decide (such as routing and admission) depend on no other crate of the
//! workspace, so tests and the bench can run them with a simulated clock.

#![forbid(unsafe_code)]

pub mod clock;
pub mod code;
pub mod gossip;
pub mod id;
pub mod log;
pub mod plugin;
pub mod position;
pub mod secret;
pub mod settings;
pub mod sync;
pub mod wire;

/// The name of an organisation, service, target or VM; cheap to clone.
pub type Name = std::sync::Arc<str>;
