//! What one more of anything costs, for docs/CAPACITY.md.
//!
//! Each slope is a least-squares line through points of several sizes, with
//! the range and the share of the variance that it explains. Processor time
//! is that of the node's own thread; memory is the growth of the process
//! around a step that makes nothing else.

use std::{
    hint::black_box,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_admission::{
    quarantine::{CrashId, CrashLedger, WorkDigest as Kind},
    queue::{Queue, QueueConfig, QueueItem, ServiceRate},
    register::TicketRegister,
    ticket::{Ticket, TokenPurpose},
};
use cowsliproad_agent::work::RequestWork;
use cowsliproad_config::{
    ConfigObject, ConfigState,
    fold::{self, ConfigChange, ConfigRecord},
    object::{self, Organisation},
};
use cowsliproad_entry::{target::Target, view::ConfigView};
use cowsliproad_kernel::{
    clock::Millis,
    id,
    plugin::inventory,
    wire::{
        self, AgentLoad, AnswerContent, AnswerFormat, Frame, Heartbeat,
        ProcessPhase, StoredAnswer, TargetProcessState, Urgency,
    },
};
use cowsliproad_routing::choice;
use cowsliproad_standin::{engine, plain};
use rand::{SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::{
    Extent, Options, Outcome, Plugin, block_on,
    overhead::{plain_body, through},
};
use crate::{
    load,
    meter::{self, line},
    plant::{Config, Plant},
};

inventory::submit! {
    Plugin {
        name: "slopes",
        about: "What one more of anything costs",
        start: |options| block_on(run(options)),
    }
}

type Points = Vec<(f64, f64)>;

async fn run(options: Options) -> io::Result<Outcome> {
    let quick = options.extent == Extent::Quick;
    let mut figures = json!({});
    // Memory goes first, in a process that has freed nothing that a step
    // could use again.
    eprintln!("memory");
    organisations(&mut figures);
    kept_answers(&mut figures);
    tickets(&mut figures);
    suspects(&mut figures);
    eprintln!("requests");
    let time = Duration::from_millis(if quick { 400 } else { 2_000 });
    requests(&mut figures, time).await?;
    eprintln!("links");
    let idle = Duration::from_millis(if quick { 600 } else { 4_000 });
    links(&mut figures, idle).await?;
    eprintln!("tokens");
    tokens(&mut figures, time).await?;
    eprintln!("configuration, frames, the queue");
    configuration(&mut figures);
    reports(&mut figures);
    queue_choice(&mut figures);
    target_choice(&mut figures);
    Ok(Outcome::new(figures))
}

fn add(figures: &mut Value, name: &str, unit: &str, points: &Points) {
    figures[name] = line(points).json(unit, points);
}

/// Processor time per request at an entry and at an agent.
async fn requests(figures: &mut Value, time: Duration) -> io::Result<()> {
    let config = Config {
        zones: 1,
        entries: 1,
        engines: 1,
        plains: 1,
        plain: plain::Config { slots: 256, service_us: 0 },
        plain_slots: 256,
        ..Config::new()
    };
    let plant = Plant::start(config).await?;
    let shot = through(&plant, "access/gate-check", plain_body());
    load::paced(&shot, 1_000, time).await;
    let (mut entry, mut agent) = (Points::new(), Points::new());
    for rate in [500, 1_000, 2_000, 3_000, 4_000, 6_000] {
        let before = (meter::cpu("entry-0"), meter::cpu("plain-0"));
        let outcome = load::paced(&shot, rate, time).await;
        let after = (meter::cpu("entry-0"), meter::cpu("plain-0"));
        let seconds = outcome.taken.as_secs_f64();
        let per_second = |before: Duration, after: Duration| {
            (after - before).as_micros() as f64 / seconds
        };
        let rate = outcome.rate();
        entry.push((rate, per_second(before.0, after.0)));
        agent.push((rate, per_second(before.1, after.1)));
    }
    add(figures, "entry_us_per_request", "us of a core", &entry);
    add(figures, "agent_us_per_request", "us of a core", &agent);
    Ok(())
}

/// Processor time and memory of an idle entry per link to an agent.
async fn links(figures: &mut Value, time: Duration) -> io::Result<()> {
    let mut cpu = Points::new();
    for agents in [4, 16, 32, 64] {
        let config = Config {
            zones: 1,
            entries: 1,
            engines: 0,
            plains: agents,
            ..Config::new()
        };
        let plant = Plant::start(config).await?;
        let before = meter::cpu("entry-0");
        tokio::time::sleep(time).await;
        let used = meter::cpu("entry-0") - before;
        let per_second = used.as_micros() as f64 / time.as_secs_f64();
        cpu.push((agents as f64, per_second));
        drop(plant);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    add(figures, "entry_us_per_link_s", "us of a core a second", &cpu);
    Ok(())
}

fn organisation(index: usize) -> ConfigObject {
    let hash = blake3::hash(&index.to_le_bytes()).to_hex();
    ConfigObject::Organisation(Organisation {
        name: format!("organisation-{index}").as_str().into(),
        api_key_hashes: vec![hash.as_str().into()],
        capacity_weight: 1,
        max_in_flight: 100,
    })
}

/// Memory of a state and its view.
fn organisations(figures: &mut Value) {
    let mut points = Points::new();
    for count in [1_000, 2_500, 5_300, 8_000] {
        let before = meter::memory();
        let mut state = ConfigState::new();
        for (offset, index) in (1..).zip(0..count) {
            let object = organisation(index);
            let change = ConfigChange::Put { base_revision: 0, object };
            let command = id::Command::random();
            let record =
                fold::encode_record(&ConfigRecord { command, change });
            let _ = state.apply_record(offset, &record);
        }
        let view =
            ConfigView::new(Arc::new(state), &ConfigView::default(), |it| {
                Arc::new(Target::new(it))
            });
        let grown = meter::memory().saturating_sub(before);
        points.push((count as f64, grown as f64));
        std::mem::forget(black_box(view));
    }
    add(figures, "memory_bytes_per_organisation", "bytes", &points);
}

/// Processor time per token of streams that each get a token now and then,
/// so that tokens travel alone as they do in production.
async fn tokens(figures: &mut Value, time: Duration) -> io::Result<()> {
    let config = Config {
        zones: 1,
        entries: 1,
        engines: 1,
        plains: 0,
        engine: engine::Config {
            slots: 1_024,
            first_us: 0,
            token_us: 20_000,
            ..engine::Config::new()
        },
        engine_slots: 1_024,
        ..Config::new()
    };
    let plant = Plant::start(config).await?;
    let (mut entry, mut agent) = (Points::new(), Points::new());
    let length = time.as_millis() as u64 / 20;
    for streams in [16, 64, 128, 256] {
        let body = json!({ "messages": [streams], "max_tokens": length });
        let path = "drafting/label-draft";
        let shot = through(&plant, path, body.to_string());
        let before = (meter::cpu("entry-0"), meter::cpu("engine-0"));
        let outcome = load::closed(&shot, streams, time / 2).await;
        let after = (meter::cpu("entry-0"), meter::cpu("engine-0"));
        let seconds = outcome.taken.as_secs_f64();
        let rate = outcome.times.len() as f64 * length as f64 / seconds;
        let used = |before: Duration, after: Duration| {
            (after - before).as_micros() as f64 / seconds
        };
        entry.push((rate, used(before.0, after.0)));
        agent.push((rate, used(before.1, after.1)));
    }
    add(figures, "entry_us_per_token", "us of a core", &entry);
    add(figures, "agent_us_per_token", "us of a core", &agent);
    Ok(())
}

/// Folding a record, publishing a view, and the size of a state.
fn configuration(figures: &mut Value) {
    let (mut publish, mut bytes) = (Points::new(), Points::new());
    let mut fold_us = Points::new();
    let mut record_bytes = 0;
    for count in [500, 1_000, 2_500, 5_300, 8_000] {
        let records: Vec<Vec<u8>> = (0..count)
            .map(|index| {
                let object = organisation(index);
                let change = ConfigChange::Put { base_revision: 0, object };
                let command = id::Command::random();
                fold::encode_record(&ConfigRecord { command, change })
            })
            .collect();
        record_bytes = records[0].len();
        let mut state = ConfigState::new();
        let start = Instant::now();
        for (offset, record) in (1..).zip(&records) {
            let _ = black_box(state.apply_record(offset, record));
        }
        let taken = start.elapsed().as_micros() as f64;
        fold_us.push((count as f64, taken));
        bytes.push((count as f64, fold::encode_state(&state).len() as f64));
        let start = Instant::now();
        for _ in 0..5 {
            let state = Arc::new(state.clone());
            let view = ConfigView::new(state, &ConfigView::default(), |it| {
                Arc::new(Target::new(it))
            });
            black_box(view);
        }
        let taken = start.elapsed().as_micros() as f64 / 5.0;
        publish.push((count as f64, taken));
    }
    add(figures, "fold_us_per_record", "us", &fold_us);
    add(figures, "publish_us_per_organisation", "us a view", &publish);
    add(figures, "state_bytes_per_organisation", "bytes, encoded", &bytes);
    figures["record_bytes"] = json!(record_bytes);
}

/// Size and decoding time of a load report.
fn reports(figures: &mut Value) {
    let beat = |holds: usize| {
        Frame::Heartbeat(Heartbeat {
            sender_name: "engine-12".into(),
            incarnation: id::Incarnation::random(),
            sender_clock: Millis(86_400_000),
            phase: ProcessPhase::Serving,
            load: AgentLoad {
                queued_requests: 12,
                running_requests: 16,
                target_request_slots: 16,
                mean_service_time_us: 81_234,
                accepted_requests_total: 1_234_567,
            },
            target_cooldown_remaining: Millis(0),
            presence: TargetProcessState::Here,
            taken_over_incarnations: (0..holds)
                .map(|_| id::Incarnation::random())
                .collect(),
            next_config_offset: 123_456,
        })
    };
    let bytes = wire::encode(&beat(0));
    let times = 20_000;
    let start = Instant::now();
    for _ in 0..times {
        black_box(wire::decode(black_box(&bytes)));
    }
    let decode = start.elapsed().as_nanos() as f64 / f64::from(times) / 1e3;
    let start = Instant::now();
    for _ in 0..times {
        black_box(wire::encode(black_box(&beat(0))));
    }
    let encode = start.elapsed().as_nanos() as f64 / f64::from(times) / 1e3;
    figures["report_bytes"] = json!(bytes.len());
    figures["report_decode_us"] = json!(decode);
    figures["report_encode_us"] = json!(encode);
}

/// Memory of kept answers of half a kilobyte.
fn kept_answers(figures: &mut Value) {
    let mut points = Points::new();
    for count in [5_000usize, 10_000, 20_000, 40_000] {
        let before = meter::memory();
        let kept: Vec<Arc<RequestWork>> = (0..count)
            .map(|index| {
                Arc::new(RequestWork::from_stored_answer(StoredAnswer {
                    request: id::Request(index as u64),
                    organisation: "organisation".into(),
                    result: Ok(AnswerContent {
                        format: AnswerFormat::Json,
                        answer_bytes: vec![b'x'; 512],
                    }),
                }))
            })
            .collect();
        let grown = meter::memory().saturating_sub(before);
        points.push((count as f64, grown as f64));
        // Kept, so that the next size does not reuse the memory.
        std::mem::forget(black_box(kept));
    }
    add(figures, "memory_bytes_per_kept_answer", "bytes", &points);
}

/// Memory and time of a ticket's record.
fn tickets(figures: &mut Value) {
    let (mut memory, mut time) = (Points::new(), Points::new());
    for count in [20_000u64, 50_000, 100_000, 200_000] {
        let before = meter::memory();
        let mut register = TicketRegister::new(count as usize);
        let start = Instant::now();
        for request in 0..count {
            let ticket = Ticket {
                purpose: TokenPurpose::Ticket,
                organisation: "a".into(),
                service: "s".into(),
                request_type: "t".into(),
                target: "x".into(),
                incarnation: id::Incarnation(1),
                request: id::Request(request.wrapping_mul(0x9E37_79B9)),
                expiry: Millis(600_000 + request),
            };
            black_box(register.submit(&ticket, Millis(0)));
        }
        time.push((count as f64, start.elapsed().as_micros() as f64));
        let grown = meter::memory().saturating_sub(before);
        memory.push((count as f64, grown as f64));
        std::mem::forget(black_box(register));
    }
    add(figures, "memory_bytes_per_ticket", "bytes", &memory);
    add(figures, "ticket_us", "us", &time);
}

/// Time of putting one item into a queue of a length and taking one out.
fn queue_choice(figures: &mut Value) {
    let pace = ServiceRate {
        slots: 16,
        mean_service_us: 1,
        min_start_interval_us: 0,
        next_start_delay_us: 0,
    };
    let mut points = Points::new();
    for length in [16usize, 256, 1_024, 4_000] {
        let config = QueueConfig::new().with_capacity(8_192);
        let mut queue = Queue::new(config);
        let item = |index: usize| QueueItem {
            organisation: format!("o{}", index % 50).as_str().into(),
            organisation_weight: 1,
            urgency: Urgency::Normal,
            deadline: Millis(1_000_000),
            bytes: 0,
            work: index,
        };
        for index in 0..length {
            queue.push(item(index), pace, Millis(0));
        }
        let times = 4_000;
        let start = Instant::now();
        for index in 0..times {
            queue.push(item(index), pace, Millis(index as u64 / 10));
            black_box(queue.pop(Millis(index as u64 / 10)));
        }
        let each = start.elapsed().as_nanos() as f64 / times as f64 / 1e3;
        points.push((length as f64, each));
    }
    add(figures, "queue_us_per_waiting_item", "us a push and pop", &points);
}

/// Time of one choice among targets whose counters stand behind locks, as an
/// entry's do.
fn target_choice(figures: &mut Value) {
    let mut random = StdRng::seed_from_u64(1);
    let mut points = Points::new();
    for count in [100usize, 400, 1_600] {
        let targets: Vec<Target> = (0..count).map(idle_target).collect();
        let times = 50_000;
        let start = Instant::now();
        for _ in 0..times {
            let found = choice::choose_target(count, &mut random, |index| {
                Some(targets[index].predicted_first_token_us(0))
            });
            black_box(found);
        }
        let each = start.elapsed().as_nanos() as f64 / times as f64 / 1e3;
        points.push((count as f64, each));
        if count == 400 {
            figures["choice_us_400"] = json!(each);
        }
    }
    add(figures, "choice_us_per_target", "us", &points);
}

fn idle_target(index: usize) -> Target {
    Target::new(&object::Target {
        name: format!("target-{index}").as_str().into(),
        service: "service".into(),
        zone: "zone".into(),
        agent_address: crate::plant::ANY,
    })
}

/// Memory and time of work that targets ended under, and of telling work.
/// Some ledgers at once, since one is too small to be seen.
fn suspects(figures: &mut Value) {
    const LEDGERS: u64 = 16;
    let now = Millis(1_000_000);
    let (mut suspected, mut learn) = (Points::new(), Points::new());
    for count in [512_u64, 1_024, 2_048, 4_096] {
        let before = meter::memory();
        let mut ledgers: Vec<CrashLedger> =
            (0..LEDGERS).map(|_| CrashLedger::new()).collect();
        let start = Instant::now();
        for ledger in &mut ledgers {
            for work in 0..count {
                ledger.record_crash(Kind(work), CrashId(work / 50), now);
            }
        }
        let taken = start.elapsed().as_nanos() as f64 / 1e3;
        let grown = meter::memory().saturating_sub(before);
        suspected.push((count as f64, grown as f64 / LEDGERS as f64));
        learn.push((count as f64, taken / LEDGERS as f64));
        std::mem::forget(black_box(ledgers));
    }
    add(figures, "memory_bytes_per_suspect", "bytes", &suspected);
    add(figures, "suspect_us", "us", &learn);
    let mut digest = Points::new();
    for kilobytes in [1_usize, 4, 16, 64] {
        let body = vec![b'x'; kilobytes << 10];
        let times = 2_000;
        let start = Instant::now();
        for _ in 0..times {
            black_box(Kind::new(&[b"organisation", b"/path/", &body]));
        }
        let taken = start.elapsed().as_nanos() as f64 / 1e3;
        digest.push((kilobytes as f64, taken / f64::from(times)));
    }
    add(figures, "work_us_per_kilobyte", "us", &digest);
}
