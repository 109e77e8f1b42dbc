//! What an entry promises, seen from callers and targets.

mod answers;
mod callers;
mod connections;
mod cooldown_siege;
mod cooldowns;
mod disruption_siege;
mod group_crashes;
mod harness;
mod held_clock;
mod leaving;
mod limit_siege;
mod limits;
mod news;
mod numbers;
mod processes;
mod quarantine;
mod rollback_siege;
mod rollbacks;
mod scripted;
mod siege;
mod silence_siege;
mod silent_log;
mod slowness;
mod stop;
mod streams;
mod suspension;
