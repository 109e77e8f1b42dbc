//! How all ranks of a group change to a new expert map in the same step.

#![forbid(unsafe_code)]
