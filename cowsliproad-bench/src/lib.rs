//! Load, faults and experiments.
//!
//! Every experiment is a plug-in that registers itself and becomes a
//! subcommand of `cowsliproad-bench`. Experiments run the real entries and
//! agents on loopback against the stand-ins, in one process, each node on a
//! thread and runtime of its own so that it can be killed or frozen alone.
//!
//! * [`node`]: a program on a thread that can be stopped, killed, frozen;
//! * [`plant`]: a whole deployment with its stand-ins;
//! * [`workload`]: what both users declare and send;
//! * [`caller`]: a caller that does as `docs/CALLERS.md` says and checks
//!   every answer;
//! * [`tally`]: what is counted; [`meter`]: what a node uses;
//! * [`load`]: cheap load on one address;
//! * [`experiment`]: the experiments.

#![forbid(unsafe_code)]

pub mod baseline;
pub mod caller;
pub mod experiment;
pub mod load;
pub mod meter;
pub mod node;
pub mod plant;
pub mod tally;
pub mod workload;
