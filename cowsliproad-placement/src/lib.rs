//! The expert map of a group.

#![forbid(unsafe_code)]
