//! Routing: which target an attempt goes to.
//!
//! * [`catalog`]: routes, services and organisations in force;
//! * [`fleet`]: which targets there are;
//! * [`formation`]: whether a lock-step group takes requests;
//! * [`readings`]: when an entry reads them in the platform's log;
//! * [`owner`]: which entry keeps the pace of a target with a limit;
//! * [`pick`]: the target with the least expected time;
//! * [`score`]: the predicted time to the first token at a target;
//! * [`choice`]: the best of a few sampled targets;
//! * [`health`]: which targets are left out for a while;
//! * [`cooldown`]: which asked to be left alone.
//!
//! Cost doesn't depend on the number of targets, except when most of them
//! are left out. All is pure: time and randomness are arguments.

#![forbid(unsafe_code)]

pub mod catalog;
pub mod choice;
pub mod cooldown;
pub mod fleet;
pub mod formation;
pub mod health;
pub mod owner;
pub mod pick;
pub mod readings;
pub mod score;
