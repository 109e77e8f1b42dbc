//! Chooses the target of each attempt.
//!
//! * [`catalog`]: routes, services and organisations in force;
//! * [`confirmation`]: when the log last confirmed the configuration;
//! * [`delay`]: how long ago a received message was sent;
//! * [`fleet`]: which targets exist and take new requests;
//! * [`formation`]: whether a lock-step group takes requests;
//! * [`readings`]: when an entry process reads the targets in the platform's
//!   log;
//! * [`owner`]: which entry process owns the rate limiter of a target;
//! * [`pick`]: the target with the least expected cost;
//! * [`score`]: the predicted time to the first token at a target;
//! * [`choice`]: the best of a few sampled targets;
//! * [`health`]: ejection of failing targets;
//! * [`cooldown`]: retry-after times that targets stated.
//!
//! The cost of a choice by sampling doesn't depend on the number of targets,
//! unless most targets are unusable. All functions are pure: time and
//! randomness are arguments.

#![forbid(unsafe_code)]

pub mod catalog;
pub mod choice;
pub mod confirmation;
pub mod cooldown;
pub mod delay;
pub mod fleet;
pub mod formation;
pub mod health;
pub mod listing;
pub mod owner;
pub mod pick;
pub mod readings;
pub mod score;
