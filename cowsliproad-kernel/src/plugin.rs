//! A registry of plug-ins that register themselves.
//!
//! A crate defines a type of plug-in and declares it with
//! [`inventory::collect!`]. Each plug-in registers itself with
//! [`inventory::submit!`] where it is defined, and a program that links the
//! plug-in can look it up by name. A plug-in holds a function pointer to a
//! monomorphic entry point, so the request path needs no dynamic dispatch.

pub use inventory;

/// A type of plug-in that can be looked up by name.
pub trait Plugin: inventory::Collect {
    /// Returns the name by which settings or flags select the plug-in.
    fn name(&self) -> &'static str;

    /// Returns a one-line description for help texts.
    fn description(&self) -> &'static str;
}

/// Returns the plug-in with the given name.
pub fn find_plugin<P: Plugin>(name: &str) -> Option<&'static P> {
    all_plugins::<P>().into_iter().find(|plugin| plugin.name() == name)
}

/// Returns all plug-ins of one type, sorted by name.
pub fn all_plugins<P: Plugin>() -> Vec<&'static P> {
    let mut found: Vec<_> = inventory::iter::<P>.into_iter().collect();
    found.sort_by_key(|plugin| plugin.name());
    found
}
