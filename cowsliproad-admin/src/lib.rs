//! The operators' interface, generated from `proto/admin.proto`, and the
//! conversions between its messages and the configuration's own types.
//!
//! The generated code is committed under `gen/` so that a build needs no
//! generator; `cargo run -p codegen` makes it anew.

/// The generated code.
pub mod generated {
    #![allow(missing_docs, warnings, clippy::all)]
    include!("../gen/admin.rs");
}

pub mod convert;

pub use generated::admin::cowsliproad::admin as message;
