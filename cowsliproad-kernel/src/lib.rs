//! What every cowsliproad program shares: time, names, result codes,
//! settings, logs, the plug-in registry and the messages on the links.
//!
//! Nothing here performs network I/O or keeps a decision. The decision crates
//! depend on this crate alone, so that tests and the bench can drive them
//! under a manual clock.

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

/// A shared immutable name of an organisation, service, target or VM.
pub type Name = std::sync::Arc<str>;
