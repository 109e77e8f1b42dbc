//! How a group keeps its pace while the demand shifts and load is high.
//!
//! Streams are late by a pause more often than by waiting: one pass that
//! lasts too long makes all of them so. This plays a lock-step group of the
//! size of the users' departure boards in virtual time (see [`group`]), with
//! the planner and the demand that run in the programs, and an admission that
//! does not (see [`admission`]).
//! Policies are compared on the same seeds: `first` is what ran before maps
//! came one copy at a time, `even` a map that is always even, which none can
//! beat.

mod admission;
mod group;
mod likes;
mod plot;

use cowsliproad_kernel::plugin::inventory;
use cowsliproad_placement::map::Shape;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use self::{
    admission::Pass,
    group::{Admission, Drops, GAP_MS, Load, Maps, Plant, Policy, Score},
    plot::Curve,
};
use super::{Extent, Options, Outcome, Plugin};

inventory::submit! {
    Plugin {
        name: "pace",
        about: "Streams on time while the demand shifts, by policy",
        start: run,
    }
}

/// The users' departure boards, by their configuration.
const PLANT: Plant = Plant {
    shape: Shape {
        rank_count: 12,
        expert_count: 96,
        layer_count: 3,
        slots_per_rank: 11,
    },
    spare: 4,
    copy_ms: 400.0,
    slots: 12,
    pass: Pass { steps: 4.0, step_ms: 4.55, stream_ms: 0.905 },
    experts: 0.85,
    read_per_ms: 61.4,
    entries: 6,
};

/// Loads by name: a quiet day, a quarter more, and a time in which no map
/// can be changed, as while a VM is frozen.
const CALM: Load =
    Load { rate: 44.8, shift_ms: 4_000.0, share: 0.7, stuck: (0.0, 0.0) };
const LOADS: [(&str, Load); 4] = [
    ("even", Load { shift_ms: 0.0, ..CALM }),
    ("calm", CALM),
    ("busy", Load { rate: 56.0, ..CALM }),
    ("stuck", Load { rate: 52.0, stuck: (20_000.0, 28_000.0), ..CALM }),
];

/// The maps of today.
const MAPS: Maps =
    Maps { price: 0.03, burst: 1, count_ms: 50.0, drops: Drops::Overtaken };

/// What the departure boards bear between two events, less a tenth.
const BOUND_MS: u32 = 108;

fn policies() -> Vec<(&'static str, Policy)> {
    let all = |maps| Policy { maps: Some(maps), admission: Admission::All };
    let first = Maps {
        price: 0.1,
        burst: usize::MAX,
        count_ms: 250.0,
        drops: Drops::Nothing,
    };
    let within = Admission::Within(BOUND_MS);
    vec![
        ("first", all(first)),
        ("dear", all(Maps { price: 0.1, ..MAPS })),
        ("cheap", all(Maps { price: 0.01, ..MAPS })),
        ("burst-2", all(Maps { burst: 2, ..MAPS })),
        ("burst-all", all(Maps { burst: usize::MAX, ..MAPS })),
        ("waits", all(Maps { drops: Drops::Nothing, ..MAPS })),
        ("today", all(MAPS)),
        ("first-within", Policy { admission: within, ..all(first) }),
        ("today-within", Policy { admission: within, ..all(MAPS) }),
        ("even", Policy { maps: None, admission: Admission::All }),
    ]
}

/// The load whose passes are plotted.
const PLOTTED: &str = "busy";

/// Seeds that are played.
const SEEDS: u64 = 5;

fn run(options: Options) -> Outcome {
    let seeds = match options.extent {
        Extent::Full => SEEDS,
        Extent::Quick => 1,
    };
    let mut figures = json!({});
    let mut table = String::new();
    let mut curves = Vec::new();
    for (load_name, load) in LOADS {
        for (name, policy) in policies() {
            let seeds = options.seed..options.seed + seeds;
            let scores: Vec<Score> =
                seeds.map(|it| group::play(PLANT, load, policy, it)).collect();
            let row = row(&scores);
            table += &format!(
                "{load_name:<8}{name:<14}on time {:>6.3}  late {:>6.3}  \
                 skew {:>5.2}  copies {:>5.0}  pass p50 {:>4} p99 {:>4}\n",
                row["on_time"].as_f64().unwrap_or_default(),
                row["late"].as_f64().unwrap_or_default(),
                row["skew"].as_f64().unwrap_or_default(),
                row["copies"].as_f64().unwrap_or_default(),
                row["pass_p50_ms"],
                row["pass_p99_ms"],
            );
            figures[load_name][name] = row;
            if load_name == PLOTTED {
                curves.push(Curve { name, passes: merged(&scores) });
            }
        }
    }
    let outcome = Outcome::new(figures).with_table(table);
    let title = format!("passes, {PLOTTED}");
    match plot::draw(&title, &curves, GAP_MS) {
        Ok(svg) => outcome.with_plot(svg),
        Err(error) => {
            outcome.with_broken(vec![format!("nothing drawn: {error}")])
        }
    }
}

/// The passes of all runs.
fn merged(scores: &[Score]) -> Histogram<u64> {
    let mut passes = scores[0].passes.clone();
    for score in &scores[1..] {
        passes += &score.passes;
    }
    passes
}

/// The mean over some runs.
fn row(scores: &[Score]) -> Value {
    let mean = |figure: fn(&Score) -> f64| {
        scores.iter().map(figure).sum::<f64>() / scores.len() as f64
    };
    json!({
        "on_time": mean(|it| it.on_time),
        "late": mean(|it| it.late),
        "skew": mean(|it| it.skew),
        "copies": mean(|it| it.copies as f64),
        "pass_p50_ms": mean(|it| it.passes.value_at_quantile(0.5) as f64),
        "pass_p99_ms": mean(|it| it.passes.value_at_quantile(0.99) as f64),
    })
}
