//! The expert map of a group, and when to change it.
//!
//! Every rank of a group waits for the slowest in each layer, so a step takes
//! the sum over layers of the longest time that any rank needs. A
//! [`map::Map`] says which ranks hold which experts in each layer; a popular
//! expert may be held by several, which share its tokens in proportion to
//! their speed.
//!
//! * [`map`]: the map and the time of a step under it;
//! * [`load`]: smoothed token counts, kept twice so that noise shows;
//! * [`pack`]: a map from nothing;
//! * [`plan`]: few moves from the present map that pay for themselves;
//! * [`demand`]: what is demanded now, from counts that only grow;
//! * [`growth`]: what counts grew by, in a byte for each expert;
//! * [`live`]: small steps towards balance, every second;
//! * [`bound`]: a time that no map can beat.
//!
//! Weighed and not chosen: repacking from nothing at intervals (it moves
//! nearly every expert for the last percent of balance), and a solver (too
//! slow at 256 × 256 × 61 within 3.4% of a core).

#![forbid(unsafe_code)]

pub mod bound;
pub mod demand;
pub mod growth;
pub mod live;
pub mod load;
pub mod map;
pub mod pack;
pub mod plan;
