//! The stand-ins and the cases of the review, as one program: its argument
//! names the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run.

mod common;
mod engines;
mod extra;
mod lapse;
mod parts;
mod silence;
mod stopping;
mod weights;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let broken = match case.as_str() {
        "extra" => extra::run(),
        "lapse" => lapse::run(),
        "parts" => parts::run(),
        "silence" => silence::run(),
        "weights" => weights::run(),
        "stopping" => stopping::run(),
        _ => common::cannot_run("no such case"),
    };
    std::process::exit(i32::from(broken));
}
