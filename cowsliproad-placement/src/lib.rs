//! Plans the expert map of a group: which rank holds which experts.
//!
//! In each layer, every rank of a group waits for the slowest one, so the time
//! of a step is the sum over all layers of the slowest rank's time. A
//! [`map::Map`] says which ranks hold which experts in each layer. A popular
//! expert may be held by several ranks, which share its tokens in proportion
//! to their speed.
//!
//! * [`map`]: the expert map and the time of a step under it;
//! * [`load`]: smoothed token counts in two independent averages, which show
//!   whether an imbalance is noise;
//! * [`pack`]: computes a map from scratch;
//! * [`plan`]: plans a few moves from the present map whose saving exceeds
//!   their cost;
//! * [`demand`]: estimates the current demand from cumulative counts;
//! * [`growth`]: encodes the growth of counts in one byte for each expert;
//! * [`live`]: plans small changes towards balance, every second;
//! * [`bound`]: a lower bound on the step time over all maps.
//!
//! Rejected alternatives: repacking from scratch at intervals (it moves nearly
//! every expert for the last percent of balance), and a solver (too slow at
//! 256 × 256 × 61 within 3.4% of a core).

#![forbid(unsafe_code)]

pub mod bound;
pub mod demand;
pub mod growth;
pub mod live;
pub mod load;
pub mod map;
pub mod pack;
pub mod plan;
