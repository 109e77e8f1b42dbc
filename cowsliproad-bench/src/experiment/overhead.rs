//! What an entry and an agent add: the same requests direct to a stand-in
//! and through both, in turns, so that the machine's moods fall on both.

use std::{io, time::Duration};

use cowsliproad_kernel::{log::Level, plugin::inventory};
use cowsliproad_standin::{engine, plain};
use serde_json::json;

use super::{Extent, Options, Outcome, Plugin, block_on};
use crate::{
    load::{self, Shot},
    meter,
    plant::{Backend, Config, Layout, Plant},
    workload,
};

inventory::submit! {
    Plugin {
        name: "overhead",
        about: "What an entry and an agent add to a request",
        start: |options| block_on(run(options)),
    }
}

/// Requests a second for the latency part.
const RATE: u64 = 2_000;

/// Requests under way for the throughput part.
const CALLERS: usize = 64;

/// Streams under way for the token part.
const STREAMS: usize = 32;

/// Tokens in one stream.
const TOKENS: u64 = 1_000;

/// Targets that the issue sets.
const MAX_ADDED_P50_US: f64 = 200.0;
const MAX_ADDED_P99_US: f64 = 1_000.0;
const MIN_RATIO: f64 = 0.35;

async fn run(options: Options) -> io::Result<Outcome> {
    let (turns, time) = match options.extent {
        Extent::Full => (5, Duration::from_secs(2)),
        Extent::Quick => (2, Duration::from_millis(700)),
    };
    let plant = Plant::start(config(options.log, Layout::Wide(4))).await?;
    let through = through(&plant, "access/gate-check", plain_body());
    let direct = Shot {
        address: plant.sites[1].target,
        path: "/gate-check".into(),
        key: None,
        body: plain_body(),
    };
    eprintln!("latency at {RATE} requests/s, in turns");
    load::paced(&through, RATE, time / 2).await;
    load::paced(&direct, RATE, time / 2).await;
    let mut slow = load::paced(&direct, RATE, time).await;
    let mut added = load::paced(&through, RATE, time).await;
    for _ in 1..turns {
        slow.add(&load::paced(&direct, RATE, time).await);
        added.add(&load::paced(&through, RATE, time).await);
    }
    eprintln!("throughput with {CALLERS} requests under way");
    let before = meter::cpu_of_process();
    let full_direct = load::closed(&direct, CALLERS, time).await;
    let between = meter::cpu_of_process();
    let full_through = load::closed(&through, CALLERS, time).await;
    let after = meter::cpu_of_process();
    let each = |used: Duration, outcome: &load::Outcome| {
        used.as_micros() as f64 / outcome.times.len() as f64
    };
    drop(plant);
    eprintln!("tokens with {STREAMS} streams under way");
    let single = Plant::start(config(options.log, Layout::Single)).await?;
    let tokens = tokens(&single, time).await;
    let failed = slow.failed + added.failed + full_through.failed;
    let ratio = full_through.rate() / full_direct.rate();
    let at = |it: &load::Outcome, quantile: f64| {
        it.times.value_at_quantile(quantile) as f64
    };
    let added_p50 = at(&added, 0.5) - at(&slow, 0.5);
    let added_p99 = at(&added, 0.99) - at(&slow, 0.99);
    let figures = json!({
        "added_p50_us": added_p50,
        "added_p99_us": added_p99,
        "direct_p50_us": at(&slow, 0.5),
        "direct_p99_us": at(&slow, 0.99),
        "through_p50_us": at(&added, 0.5),
        "through_p99_us": at(&added, 0.99),
        "throughput_ratio": ratio,
        "direct_per_s": full_direct.rate(),
        "through_per_s": full_through.rate(),
        "direct_cpu_us": each(between - before, &full_direct),
        "through_cpu_us": each(after - between, &full_through),
        "tokens_per_s": tokens.per_second,
        "tokens_per_entry_core_s": tokens.per_entry_core,
        "tokens_per_agent_core_s": tokens.per_agent_core,
        "failed": failed,
    });
    let mut broken = Vec::new();
    if failed > 0 {
        broken.push(format!("{failed} requests failed"));
    }
    if options.extent == Extent::Full {
        check(&mut broken, added_p50 <= MAX_ADDED_P50_US, "added_p50_us");
        check(&mut broken, added_p99 <= MAX_ADDED_P99_US, "added_p99_us");
        check(&mut broken, ratio >= MIN_RATIO, "throughput_ratio");
    }
    Ok(Outcome::new(figures).with_broken(broken))
}

fn config(log: Level, layout: Layout) -> Config {
    Config {
        zones: 1,
        entries: 1,
        engines: 1,
        plains: 1,
        plain: plain::Config { slots: 256, service_us: 0 },
        engine: engine::Config {
            slots: 256,
            first_us: 0,
            token_us: 0,
            ..engine::Config::new()
        },
        plain_slots: 256,
        engine_slots: 256,
        log,
        layout,
        ..Config::new()
    }
}

fn check(broken: &mut Vec<String>, met: bool, what: &str) {
    if !met {
        broken.push(format!("{what} misses its target"));
    }
}

/// A request that goes through the plant's first entry.
pub fn through(plant: &Plant, path: &str, body: String) -> Shot {
    let entry = plant.gateways[0].entry.as_ref();
    let address =
        entry.map_or(crate::plant::ANY, |it| it.handle.caller_address);
    Shot {
        address,
        path: format!("/v1/{path}"),
        key: Some(workload::key("harju-hangars")),
        body,
    }
}

/// The body of a plain request.
pub fn plain_body() -> String {
    json!({ "id": "r1-0", "request": "gate 7" }).to_string()
}

struct Tokens {
    per_second: f64,
    per_entry_core: f64,
    per_agent_core: f64,
}

async fn tokens(plant: &Plant, time: Duration) -> Tokens {
    let body = json!({ "messages": ["load"], "max_tokens": TOKENS });
    let shot = through(plant, "drafting/label-draft", body.to_string());
    let before = (meter::cpu("entry-0"), meter::cpu("engine-0"));
    let outcome = load::closed(&shot, STREAMS, time).await;
    let after = (meter::cpu("entry-0"), meter::cpu("engine-0"));
    let count = outcome.times.len() as f64 * TOKENS as f64;
    let core = |before: Duration, after: Duration| {
        count / (after - before).as_secs_f64()
    };
    if let Backend::Engine(engine) = &plant.sites[0].backend {
        eprintln!("  {} texts", engine.runs());
    }
    Tokens {
        per_second: count / outcome.taken.as_secs_f64(),
        per_entry_core: core(before.0, after.0),
        per_agent_core: core(before.1, after.1),
    }
}
