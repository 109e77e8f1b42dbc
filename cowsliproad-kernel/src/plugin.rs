//! The registry of plug-ins that register themselves.
//!
//! A crate defines a plug-in type, collects it with [`inventory::collect!`],
//! and each plug-in submits itself with [`inventory::submit!`] where it is
//! defined. The program that links it finds it by name. A plug-in carries a
//! plain function pointer to a monomorphic entry point, so nothing on the
//! request path is dispatched dynamically.

pub use inventory;

/// A type of plug-in.
pub trait Plugin: inventory::Collect {
    /// The name that a plug-in is chosen by.
    fn name(&self) -> &'static str;

    /// One line for help texts.
    fn about(&self) -> &'static str;
}

/// Finds the plug-in with the given name.
pub fn find<P: Plugin>(name: &str) -> Option<&'static P> {
    all::<P>().into_iter().find(|plugin| plugin.name() == name)
}

/// Lists the plug-ins of one type, ordered by name.
pub fn all<P: Plugin>() -> Vec<&'static P> {
    let mut found: Vec<_> = inventory::iter::<P>.into_iter().collect();
    found.sort_by_key(|plugin| plugin.name());
    found
}
