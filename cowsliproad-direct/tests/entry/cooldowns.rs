//! Targets that refuse a request with `Retry-After` get nothing from the
//! entry that they answered until that time is over.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use cowsliproad_net::client::Client;
use cowsliproad_platform::header;
use cowsliproad_platform_standin::target::{Config, Fault, Target};
use http::{Response, StatusCode, header::RETRY_AFTER};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    harness::{Entry, KEY, Plant, until},
    limits::load,
    scripted::Scripted,
};

/// The pause between two requests of a load.
const PAUSE: Duration = Duration::from_millis(10);

/// How soon a refusal is an answer at once.
const AT_ONCE: Duration = Duration::from_millis(300);

const SECOND: Duration = Duration::from_secs(1);

/// Has a target refuse one request of an entry with a `Retry-After`. Returns
/// as soon as the entry has read that.
async fn refuse_once(entry: &Entry, target: &Target, path: &str, value: &str) {
    target.set_retry_after(Some(value));
    target.set_fault(Fault::Refuse);
    let before = target.arrivals();
    let mut asked = JoinSet::new();
    until("the target refuses a request", async || {
        let request = entry.request(path, KEY, "body");
        asked.spawn(async move {
            Client::new().call(request, 1 << 20, 8 * SECOND).await
        });
        sleep(Duration::from_millis(30)).await;
        target.arrivals() > before
    })
    .await;
    target.set_fault(Fault::None);
    asked.detach_all();
}

fn retry_after(answer: &Response<Bytes>) -> Option<f64> {
    answer.headers().get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}

/// Sends requests at once.
async fn at_once(
    entry: &Entry,
    path: &str,
    count: usize,
) -> Vec<Response<Bytes>> {
    let mut asked = JoinSet::new();
    for _ in 0..count {
        let request = entry.request(path, KEY, "body");
        asked.spawn(async move {
            let client = Client::new();
            client.call(request, 1 << 20, Duration::from_secs(8)).await
        });
    }
    let answers = asked.join_all().await;
    answers.into_iter().map(|it| it.expect("an answer")).collect()
}

/// Guards against requests that are sent to a target within its Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_gets_nothing_within_its_retry_after() {
    for (path, service) in
        [("/many/a", "plain"), ("/once/a", "plain"), ("/stream/a", "model")]
    {
        let mut plant = Plant::start().await;
        let targets = plant.uneven_targets(service).await;
        let entry = plant.entry().await;
        refuse_once(&entry, &targets[0], path, "2").await;
        let before = targets[0].arrivals();
        let time = Duration::from_millis(1_800);
        let heard = load(&[&entry], path, PAUSE, time).await;
        assert_eq!((heard.refused, heard.other), (0, 0), "{path}: {heard:?}");
        assert_eq!(targets[0].arrivals(), before, "{path}");
        load(&[&entry], path, PAUSE, 2 * SECOND).await;
        let got = targets[0].arrivals() - before;
        assert!(got >= 5, "{path}: it is left idle: {got}");
    }
}

/// Guards against a request that is sent to a target again and again though
/// each refusal asks for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_not_repeated_within_the_retry_after() {
    for path in ["/once/a", "/many/a"] {
        let mut plant = Plant::start().await;
        let target = plant.target("i-1", "plain").await;
        let entry = plant.entry().await;
        target.set_retry_after(Some("3"));
        target.set_fault(Fault::Shedding);
        for _ in 0..5 {
            let begun = Instant::now();
            let answer = entry.ask(path).await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(begun.elapsed() < AT_ONCE, "{path}");
            let after = retry_after(&answer).expect("when to come back");
            assert!((2.0..=4.0).contains(&after), "{path}: {after}");
        }
        assert_eq!(target.arrivals(), 1, "{path}");
    }
}

/// Guards against a refusal that names the end of a cooldown to a caller that
/// another target would serve now.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_is_told_to_come_back_to_other_targets_soon() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entry = plant.entry().await;
    targets[0].set_retry_after(Some("3"));
    targets[0].set_fault(Fault::Shedding);
    let refused = async || {
        let answer = entry.ask("/once/a").await.expect("an answer");
        let is_refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        is_refused.then(|| retry_after(&answer).expect("when to come back"))
    };
    let begun = Instant::now();
    let after = loop {
        if let Some(after) = refused().await {
            break after;
        }
        assert!(begun.elapsed() < Duration::from_secs(10), "never refused");
    };
    assert!(after <= 0.5, "{after}");
    assert_eq!(targets[0].arrivals(), 1);
}

/// Guards against a second try that goes to a target within its Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn second_tries_keep_a_retry_after() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entry = plant.entry().await;
    refuse_once(&entry, &targets[0], "/many/a", "3").await;
    let before = targets[0].arrivals();
    targets[1].set_fault(Fault::Failing);
    targets[2].set_fault(Fault::Slow(SECOND));
    load(&[&entry], "/many/a", PAUSE, SECOND).await;
    assert_eq!(targets[0].arrivals(), before);
}

/// Guards against a stream that is resumed at a target within its Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams_keep_a_retry_after() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("model").await;
    let entry = plant.entry().await;
    refuse_once(&entry, &targets[0], "/stream/a", "3").await;
    let before = targets[0].arrivals();
    for _ in 0..10 {
        targets[1].set_fault(Fault::Cut);
        targets[2].set_fault(Fault::Cut);
        entry.ask("/stream/a").await.expect("a stream");
    }
    assert_eq!(targets[0].arrivals(), before);
}

/// Guards against a success of an earlier request that ends a cooldown.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_ends_no_retry_after() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    target.set_fault(Fault::Slow(Duration::from_millis(600)));
    let request = entry.request("/once/a", KEY, "body");
    let asked = tokio::spawn(async move {
        let client = Client::new();
        client.call(request, 1 << 20, 4 * SECOND).await
    });
    until("it is under way", async || target.arrivals() == 1).await;
    refuse_once(&entry, &target, "/once/a", "5").await;
    assert_eq!(target.arrivals(), 2);
    let answer = asked.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let heard = load(&[&entry], "/many/a", PAUSE, SECOND).await;
    assert_eq!((heard.good, heard.other), (0, 0), "{heard:?}");
    assert_eq!(target.arrivals(), 2);
}

/// Guards against values that name no time and keep a target out of use.
#[tokio::test(flavor = "multi_thread")]
async fn what_names_no_time_is_no_retry_after() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let bad = [
        "", "0", "0.0", "-1", "+2", "soon", "NaN", "inf", "0x10", "1,5",
        "1 h", "2 3",
    ];
    for value in bad {
        refuse_once(&entry, &target, "/many/a", value).await;
        let begun = Instant::now();
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{value:?}");
        assert!(begun.elapsed() < AT_ONCE, "{value:?} is believed");
    }
}

/// Guards against forms of Retry-After that are not read or overflow.
#[tokio::test(flavor = "multi_thread")]
async fn fractions_dates_and_very_long_times_are_kept() {
    let date = |seconds| {
        let at = SystemTime::now() + Duration::from_secs(seconds);
        httpdate::fmt_http_date(at)
    };
    let forms: [(&str, u64, Option<u64>); 8] = [
        ("0.8", 600, Some(1_500)),
        (" 1 ", 800, Some(1_700)),
        ("in 3 s", 1_800, Some(3_700)),
        ("1000000000", 1_000, None),
        ("1e9", 1_000, None),
        ("999999999999999999999999999999", 1_000, None),
        ("1e999", 1_000, None),
        ("in years", 1_000, None),
    ];
    for (form, kept_ms, over_ms) in forms {
        let value = match form {
            "in 3 s" => date(3),
            "in years" => date(400_000_000),
            seconds => seconds.to_string(),
        };
        let mut plant = Plant::start().await;
        let targets = plant.uneven_targets("plain").await;
        let entry = plant.entry().await;
        refuse_once(&entry, &targets[0], "/many/a", &value).await;
        let before = targets[0].arrivals();
        let kept = Duration::from_millis(kept_ms);
        let heard = load(&[&entry], "/many/a", PAUSE, kept).await;
        assert_eq!((heard.refused, heard.other), (0, 0), "{value}: {heard:?}");
        assert_eq!(targets[0].arrivals(), before, "{value}");
        let Some(over_ms) = over_ms else { continue };
        let over = Duration::from_millis(over_ms) - kept + SECOND;
        load(&[&entry], "/many/a", PAUSE, over).await;
        assert!(targets[0].arrivals() > before, "{value}: left idle");
    }
}

/// Guards against a cooldown that outlives the process that asked for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_inherits_no_retry_after() {
    // Under its name at another address, and at its address by another name.
    for id in ["i-1", "i-2"] {
        let mut plant = Plant::start().await;
        let config =
            |id, start| Config::new(id, "plain", "a").with_start_time(start);
        let first = plant.target_with(config("i-1", 1)).await;
        let entry = plant.entry().await;
        refuse_once(&entry, &first, "/many/a", "1e9").await;
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        first.kill();
        let address = match id {
            "i-1" => plant.target_site().0,
            _ => first.address().expect("an address"),
        };
        if id != "i-1" {
            first.withdraw(&plant.log);
        }
        let next = loop {
            let config = config(id, 2);
            let log = &plant.log;
            let started = cowsliproad_platform_standin::target::start(
                address, config, log,
            );
            // The address is free once the listener is gone.
            match started.await {
                Ok(next) => break next,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
        until("the successor serves", async || {
            let answer = entry.ask("/many/a").await.expect("an answer");
            answer.status() == StatusCode::OK
        })
        .await;
        assert!(next.arrivals() > 0);
    }
}

/// Guards against a cooldown that is lost with the target's entry in the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_lapsed_announcement_ends_no_retry_after() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entry = plant.entry().await;
    refuse_once(&entry, &targets[0], "/many/a", "6").await;
    let before = targets[0].arrivals();
    let knows = async |count: f64| {
        until("the entry knows so many targets", async || {
            entry.metric("targets").await == Some(count)
        })
        .await;
    };
    targets[0].withdraw(&plant.log);
    knows(2.0).await;
    targets[0].announce(&plant.log, "ready");
    knows(3.0).await;
    let heard = load(&[&entry], "/many/a", PAUSE, SECOND).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
    assert_eq!(targets[0].arrivals(), before);
}

/// Guards against a cooldown that is kept by entries that were not asked.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_concerns_the_entry_that_was_told() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entries = plant.entries(2).await;
    refuse_once(&entries[0], &targets[0], "/many/a", "3").await;
    let before = targets[0].arrivals();
    load(&entries[1..], "/many/a", PAUSE, SECOND).await;
    let got = targets[0].arrivals() - before;
    assert!(got >= 20, "it is left idle: {got}");
}

/// Guards against callers that wait in vain, or all return at one moment,
/// while every target of a service asked for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn what_no_target_takes_in_time_is_refused_at_once() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entry = plant.entry().await;
    for target in &targets {
        refuse_once(&entry, target, "/many/a", "3.5").await;
    }
    let arrivals = || targets.iter().map(|it| it.arrivals()).sum::<u64>();
    let before = arrivals();
    for path in ["/once/a", "/many/a"] {
        let begun = Instant::now();
        let answers = at_once(&entry, path, 30).await;
        assert!(begun.elapsed() < AT_ONCE, "{path}");
        let mut returns = BTreeSet::new();
        for answer in answers {
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            let after = retry_after(&answer).expect("when to come back");
            assert!((2.0..=6.0).contains(&after), "{path}: {after}");
            returns.insert((after * 1_000.0) as u64);
        }
        let spread = returns.last().unwrap() - returns.first().unwrap();
        assert!(returns.len() >= 15, "{path}: {returns:?}");
        assert!(spread >= 200, "{path}: {returns:?}");
    }
    assert_eq!(arrivals(), before);
}

/// Guards against requests that are refused though a target takes them in
/// time, and that are all sent at the moment in which it does.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_retry_after_is_waited_for() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    refuse_once(&entry, &target, "/many/a", "0.8").await;
    let begun = Instant::now();
    let before = target.arrivals();
    let answers = at_once(&entry, "/once/a", 30).await;
    for answer in &answers {
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    }
    // The one that was refused is among them.
    assert!((30..=32).contains(&(target.arrivals() - before)));
    let mut times = target.arrival_times();
    times.retain(|it| *it >= begun);
    let first = times[0] - begun;
    assert!(first >= Duration::from_millis(700), "{first:?}");
    let spread = times[29] - times[0];
    assert!(spread >= Duration::from_millis(50), "{spread:?}");
}

/// Guards against permits under a target's limit that outlive its wish for a
/// pause.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_hold_permits_keep_a_retry_after() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    target.set_rate_limit(Some("4"));
    load(&[&entry], "/many/a", PAUSE, SECOND).await;
    target.set_retry_after(Some("1.5"));
    target.set_fault(Fault::Refuse);
    let begun = target.arrivals();
    let callers = [&entry];
    let (_, quiet) =
        tokio::join!(load(&callers, "/many/a", PAUSE, 2 * SECOND), async {
            until("it refuses", async || target.arrivals() > begun).await;
            let before = target.arrivals();
            sleep(Duration::from_millis(1_400)).await;
            target.arrivals() - before
        });
    assert_eq!(quiet, 0);
}

/// Guards against a later answer with a shorter Retry-After that takes an
/// earlier, longer one back.
#[tokio::test(flavor = "multi_thread")]
async fn a_shorter_retry_after_takes_no_longer_one_back() {
    for shorter in ["0", "0.2", "soon"] {
        let mut plant = Plant::start().await;
        let scripted = Scripted::start(&mut plant, "i-1").await;
        let entry = plant.entry().await;
        let asked = at_once(&entry, "/once/a", 2);
        let (answers, ()) = tokio::join!(asked, async {
            until("both are there", async || scripted.arrivals() == 2).await;
            let refused = "503 Service Unavailable";
            let not_run = format!("{}: 1\r\n", header::NOT_RUN);
            for value in ["6", shorter] {
                let headers = format!("{not_run}retry-after: {value}\r\n");
                scripted.answer(refused, &headers).await;
                sleep(Duration::from_millis(50)).await;
            }
        });
        assert_eq!(answers.len(), 2);
        let heard = load(&[&entry], "/once/a", PAUSE, SECOND).await;
        assert_eq!((heard.good, heard.other), (0, 0), "{heard:?}");
        assert_eq!(scripted.arrivals(), 2, "{shorter}");
    }
}

/// Guards against requests that waited for a connection and are sent as soon
/// as the refusal frees one.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_connection_keep_a_retry_after() {
    let mut plant = Plant::start().await;
    plant.catalog = plant.catalog.clone().with_max_connections("plain", 1);
    plant.catalog.publish(&plant.log);
    let scripted = Scripted::start(&mut plant, "i-1").await;
    let entry = plant.entry().await;
    let asked = at_once(&entry, "/many/a", 8);
    let (answers, ()) = tokio::join!(asked, async {
        until("one is there", async || scripted.arrivals() == 1).await;
        sleep(Duration::from_millis(100)).await;
        let headers = format!("{}: 1\r\nretry-after: 10\r\n", header::NOT_RUN);
        scripted.answer("503 Service Unavailable", &headers).await;
    });
    assert_eq!(scripted.arrivals(), 1);
    for answer in answers {
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
}
/// Guards against connections that are made to a target within its
/// Retry-After to find out whether it ended under a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_not_probed_within_its_retry_after() {
    let mut plant = Plant::start().await;
    let scripted = Scripted::start(&mut plant, "i-1").await;
    let entry = plant.entry().await;
    let asked = at_once(&entry, "/once/a", 2);
    let (answers, ()) = tokio::join!(asked, async {
        until("both are there", async || scripted.arrivals() == 2).await;
        let headers =
            format!("{}: 1\r\nretry-after: 2.5\r\n", header::NOT_RUN);
        scripted.answer("503 Service Unavailable", &headers).await;
        sleep(Duration::from_millis(50)).await;
        scripted.reset();
    });
    assert_eq!(answers.len(), 2);
    let before = scripted.connections();
    sleep(2 * SECOND).await;
    assert_eq!(scripted.connections(), before);
    until("it is asked then", async || scripted.connections() > before).await;
}

/// Guards against a target that gets all requests that come while the first
/// answer after a cooldown is under way, or none for long because it refused.
#[tokio::test(flavor = "multi_thread")]
async fn one_request_finds_out_whether_a_cooldown_goes_on() {
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entry = plant.entry().await;
    targets[0].set_retry_after(Some("0.2"));
    targets[0].set_fault(Fault::Shedding);
    let often = Duration::from_millis(2);
    let heard = load(&[&entry], "/many/a", often, 2 * SECOND).await;
    assert_eq!((heard.refused, heard.other), (0, 0), "{heard:?}");
    let got = targets[0].arrivals();
    assert!((5..=11).contains(&got), "{got} in 2 s");
    // Once it takes requests it gets its part at once.
    targets[0].set_fault(Fault::None);
    sleep(Duration::from_millis(200)).await;
    load(&[&entry], "/many/a", often, SECOND).await;
    let got = targets[0].arrivals() - got;
    assert!(got >= 50, "it is left idle: {got}");
}

/// Guards against a service that serves less, or a target that is asked again
/// and again, where one of three targets sheds all that it gets. Prints what
/// that costs the entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_sheds_costs_its_service_little() {
    const ENTRIES: usize = 7;
    const TIME: Duration = Duration::from_secs(10);
    const WAIT: usize = 3;
    let mut plant = Plant::start().await;
    let targets = plant.uneven_targets("plain").await;
    let entries = plant.entries(ENTRIES).await;
    targets[0].set_retry_after(Some("3"));
    targets[0].set_fault(Fault::Shedding);
    let used = || entries.iter().map(Entry::processor).sum::<Duration>();
    let before = used();
    let pause = 2 * PAUSE;
    let (many, once) = tokio::join!(
        load(&entries, "/many/a", pause, TIME),
        load(&entries, "/once/a", pause, TIME),
    );
    let used = used() - before;
    let memory = entries.iter().map(Entry::memory).max().unwrap_or(0) >> 10;
    let shed = targets[0].arrivals();
    println!(
        "served {} and {} that run once, refused {} and {}, other {}; shed \
         {shed}; processor {} ms, memory {memory} KB at most",
        many.good,
        once.good,
        many.refused,
        once.refused,
        many.other + once.other,
        used.as_millis(),
    );
    // Each entry finds out once in the time that is stated.
    let most = ENTRIES * (TIME.as_secs() as usize / WAIT + 1);
    assert!(shed <= most as u64, "{shed}");
    assert_eq!((many.refused, many.other + once.other), (0, 0));
    assert!(once.refused as u64 <= shed, "{once:?}");
}
