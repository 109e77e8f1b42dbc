//! cowsliproad: a load balancer for expert-parallel model groups.
//!
//! This crate is the facade over the decisions, which are pure: they take
//! the time and the events as arguments and return what to do. The programs,
//! the scripted scenarios in `testdata/` and the bench all drive the same
//! code.
//!
//! * [`config`]: the fold from log records to the configuration in force;
//! * [`admission`]: tickets, the queue, shares and the retry budget;
//! * [`relay`]: the whole answer from the frames of one attempt;
//! * [`routing`]: the choice of a target and the ejection of failing ones;
//! * [`placement`]: the expert map of a group;
//! * [`mapswitch`]: how all ranks of a group change to a new expert map.

#![forbid(unsafe_code)]

pub use cowsliproad_admission as admission;
pub use cowsliproad_config as config;
pub use cowsliproad_kernel as kernel;
pub use cowsliproad_mapswitch as mapswitch;
pub use cowsliproad_placement as placement;
pub use cowsliproad_relay as relay;
pub use cowsliproad_routing as routing;
