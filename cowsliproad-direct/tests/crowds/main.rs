//! Crowds of callers that don't behave: none of them may end an entry process,
//! take more memory or files than its VM has, or keep ordinary callers from
//! their answers.
//!
//! The tests run one after another, and apart from the other tests of the
//! workspace, because cargo runs one test program at a time. They check no
//! times. [`vm::Vm`] has the bounds; `CROWD_VM` plays the crowds at the size of
//! a deployment.

mod bodies;
mod callers;
mod channels;
mod siege;
mod usage;
mod vm;

#[path = "../entry/harness.rs"]
#[expect(dead_code, reason = "the entry tests use all of it")]
mod harness;

#[path = "../entry/held_clock.rs"]
mod held_clock;
