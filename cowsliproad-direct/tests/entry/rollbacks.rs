//! The platform's log comes back from a copy some seconds old.

use std::{
    fs::{self, File},
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use cowsliproad_platform::log::{
    CONFIG_TOPIC, QUARANTINE_TOPIC, TARGETS_TOPIC,
};
use cowsliproad_platform_standin::{
    catalog::RouteKind,
    log::Fault,
    target::{Target, TargetConfig},
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    harness::{Entry, KEY, Plant, until},
    siege,
};

/// The time in which news has to be in force.
const BOUND: Duration = Duration::from_millis(2_000);

/// In which targets whose entries the copy lacks write them again.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// The same for one that is a little late.
const LATE_RETURN_TIME: Duration = Duration::from_millis(2_150);

/// The longest that entries tell one another of targets that left.
const LEFT_TIME: Duration = Duration::from_secs(9);

/// Keys that the organisation has in turn.
const KEYS: [&str; 2] = [KEY, "key-2"];

/// The body of a request that crashes its target.
const DEADLY: &str = "deadly";

/// Waits until an entry has sent a request to a target.
async fn until_used(entry: &Entry, target: &Target) {
    let before = target.arrival_count();
    until("the target is used", async || {
        entry.status("/many/a", KEY).await;
        target.arrival_count() > before
    })
    .await;
}

/// Renews a target's announcement, as it does all the time.
fn renew(plant: &Plant, target: &Target, times: usize) {
    for _ in 0..times {
        target.announce(&plant.log, "ready");
    }
}

/// Guards against missing what is written where an offset that was read
/// before the rollback is given out again.
#[tokio::test(flavor = "multi_thread")]
async fn records_written_after_a_rollback_are_read() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(7));
    let one = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let copy = Instant::now();
    renew(&plant, &one, 10);
    for _ in 0..3 {
        plant.catalog.publish(&plant.log);
    }
    // Its offsets lie beyond those of the copy from here on.
    sleep(BOUND).await;
    plant.log.roll_back(copy);
    let back = Instant::now();
    let two = plant.target("i-2", "plain").await;
    renew(&plant, &one, 12);
    plant.catalog =
        plant.catalog.clone().with_organisation("harju", &["key-2"]);
    plant.catalog.publish(&plant.log);
    until("the configuration is in force", async || {
        entry.status("/many/a", KEY).await == Some(StatusCode::UNAUTHORIZED)
    })
    .await;
    assert!(back.elapsed() < BOUND, "{:?}", back.elapsed());
    let before = two.arrival_count();
    until("the new target is used", async || {
        entry.status("/many/a", "key-2").await;
        two.arrival_count() > before
    })
    .await;
    assert!(back.elapsed() < BOUND, "{:?}", back.elapsed());
}

/// Guards against leaving an entry behind that the log turns away, since the
/// offsets that others tell it of have gone back.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_the_log_turns_away_learns_of_a_rollback() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    let one = plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let mut settings = plant.settings(&[&first]);
    // Nobody listens there.
    settings.log_address.set_port(1);
    let second = Entry::start(settings);
    second.until_ready().await;
    let copy = Instant::now();
    renew(&plant, &one, 20);
    let old = plant.target("i-0", "plain").await;
    until_used(&second, &old).await;
    plant.log.roll_back(copy);
    let back = Instant::now();
    let two = plant.target("i-2", "plain").await;
    until_used(&second, &two).await;
    assert!(back.elapsed() < BOUND, "{:?}", back.elapsed());
}

/// Guards against a configuration that goes back for callers of an entry that
/// starts after the rollback.
#[tokio::test(flavor = "multi_thread")]
async fn a_starting_entry_takes_no_older_configuration() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    plant.target("i-1", "plain").await;
    let first = plant.entry().await;
    let copy = Instant::now();
    plant.catalog =
        plant.catalog.clone().with_organisation("harju", &["key-2"]);
    plant.catalog.publish(&plant.log);
    until("the new key holds", async || {
        first.status("/many/a", "key-2").await == Some(StatusCode::OK)
    })
    .await;
    plant.log.roll_back(copy);
    for _ in 0..5 {
        let settings = plant.settings(&[&first]);
        let second = Entry::start(settings);
        until("the new key holds", async || {
            let old = second.status("/many/a", KEY).await;
            assert_ne!(old, Some(StatusCode::OK), "an older configuration");
            second.status("/many/a", "key-2").await == Some(StatusCode::OK)
        })
        .await;
    }
    let old = first.status("/many/a", KEY).await;
    assert_eq!(old, Some(StatusCode::UNAUTHORIZED));
}

/// Guards against a configuration that goes back since the first of the others
/// that an entry hears as it starts is as far behind as the copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_starting_entry_hears_all_others_before_it_serves_by_an_older_copy()
{
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    plant.target("i-1", "plain").await;
    let entries = plant.entries(2).await;
    let (behind, ahead) = (&entries[0], &entries[1]);
    for round in 0..5 {
        let (old, new) = (KEYS[round % 2], KEYS[(round + 1) % 2]);
        let copy = Instant::now();
        behind.signal(Signal::STOP);
        plant.catalog =
            plant.catalog.clone().with_organisation("harju", &[new]);
        plant.catalog.publish(&plant.log);
        until("the new key holds", async || {
            ahead.status("/many/a", new).await == Some(StatusCode::OK)
        })
        .await;
        ahead.signal(Signal::STOP);
        plant.log.roll_back(copy);
        behind.signal(Signal::CONT);
        let starts = Entry::start(plant.settings(&[behind, ahead]));
        // Well within the time that an entry waits for others.
        let waking = async {
            sleep(Duration::from_millis(200)).await;
            ahead.signal(Signal::CONT);
        };
        let holding = until("the new key holds", async || {
            let answer = starts.status("/many/a", old).await;
            assert_ne!(answer, Some(StatusCode::OK), "an older configuration");
            starts.status("/many/a", new).await == Some(StatusCode::OK)
        });
        tokio::join!(waking, holding);
    }
}

/// Guards against requests to a target that left and is ready in the copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_left_before_a_rollback_stays_out_of_use() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    let one = plant.target("i-1", "plain").await;
    let two = plant.target("i-2", "plain").await;
    let first = plant.entry().await;
    let copy = Instant::now();
    one.announce(&plant.log, "draining");
    until("its leaving is known", async || {
        let before = one.arrival_count();
        for _ in 0..20 {
            first.status("/many/a", KEY).await;
        }
        one.arrival_count() == before
    })
    .await;
    sleep(LEFT_TIME).await;
    let before = one.arrival_count();
    plant.log.roll_back(copy);
    // A request or a renewal makes the rollback known.
    renew(&plant, &two, 1);
    let second = Entry::start(plant.settings(&[&first]));
    second.until_ready().await;
    let begun = Instant::now();
    while begun.elapsed() < BOUND {
        for entry in [&first, &second] {
            let answer = entry.status("/many/a", KEY).await;
            assert_eq!(answer, Some(StatusCode::OK));
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(one.arrival_count(), before);
}

/// Guards against the loss of targets that joined after the copy, and against
/// use for good of one that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_the_copy_lacks_stays_in_use_until_it_is_missed() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    let old = plant.target("i-1", "model").await;
    let first = plant.entry().await;
    let copy = Instant::now();
    let lives = plant.target("i-2", "plain").await;
    let gone = plant.target("i-3", "plain").await;
    until_used(&first, &lives).await;
    until_used(&first, &gone).await;
    plant.log.roll_back(copy);
    let back = Instant::now();
    while back.elapsed() < RETURN_TIME {
        renew(&plant, &old, 1);
        let answer = first.status("/many/a", KEY).await;
        assert_eq!(answer, Some(StatusCode::OK), "{:?}", back.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    renew(&plant, &lives, 1);
    until("the missing target is out of use", async || {
        renew(&plant, &lives, 1);
        let before = gone.arrival_count();
        for _ in 0..20 {
            let answer = first.status("/many/a", KEY).await;
            assert_eq!(answer, Some(StatusCode::OK), "{:?}", back.elapsed());
        }
        gone.arrival_count() == before
    })
    .await;
    assert!(back.elapsed() < RETURN_TIME + BOUND, "{:?}", back.elapsed());
}

/// Guards against waiting for a target that nobody knew before the rollback.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_joined_just_before_a_rollback_is_used_in_time() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    plant.target("i-1", "model").await;
    let entries = plant.entries(3).await;
    for round in 0..3 {
        let copy = Instant::now();
        let id = format!("i-new{round}");
        let joined = plant.target(&id, "plain").await;
        plant.log.roll_back(copy);
        let back = Instant::now();
        sleep(RETURN_TIME).await;
        renew(&plant, &joined, 1);
        let written = Instant::now();
        for entry in &entries {
            until_used(entry, &joined).await;
        }
        let (written, back) = (written.elapsed(), back.elapsed());
        println!("used {written:?} after its entry, {back:?} after the copy");
        assert!(written < BOUND, "{written:?}");
        joined.withdraw_announcement(&plant.log);
    }
}

/// Guards against an entry that never hears of a target's new entry, since all
/// who read it in its stead knew the target before the rollback.
#[tokio::test(flavor = "multi_thread")]
async fn what_all_others_know_already_is_news_to_one_that_stood_still() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    let config =
        |start| TargetConfig::new("i-1", "plain", "a").with_start_time(start);
    let mut target = plant.target_with(config(1)).await;
    let entries = plant.entries(7).await;
    for start in 2..5 {
        let copy = Instant::now();
        entries[0].signal(Signal::STOP);
        target.kill();
        target = plant.target_with(config(start)).await;
        for entry in &entries[1..] {
            until_used(entry, &target).await;
        }
        plant.log.roll_back(copy);
        entries[0].signal(Signal::CONT);
        // By then all have read the copy, which has the start before.
        sleep(Duration::from_millis(1_500)).await;
        renew(&plant, &target, 1);
        let written = Instant::now();
        until_used(&entries[0], &target).await;
        assert!(written.elapsed() < BOUND, "{start}: {:?}", written.elapsed());
    }
}

/// Guards against taking a target for gone that was back in time, before its
/// new entry is read.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_back_in_time_never_lapses() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    plant.target("i-1", "model").await;
    let (entry, lines) = Lines::of(&mut plant, &[]);
    entry.until_ready().await;
    let copy = Instant::now();
    let lives = plant.target("i-2", "plain").await;
    until_used(&entry, &lives).await;
    for _ in 0..6 {
        plant.log.roll_back(copy);
        // The read that is held for it notices at once.
        plant.catalog.publish(&plant.log);
        sleep(LATE_RETURN_TIME).await;
        renew(&plant, &lives, 1);
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(lines.with("event=target_left"), Vec::<String>::new());
}

/// Guards against an entry that started while the log was away, and takes what
/// it knows from others for gone by the copy.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_first_reads_an_older_copy_withdraws_nothing() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    plant.target("i-1", "model").await;
    let (first, first_lines) = Lines::of(&mut plant, &[]);
    first.until_ready().await;
    let copy = Instant::now();
    let lives = plant.target("i-2", "plain").await;
    until_used(&first, &lives).await;
    plant.log.set_fault(Fault::Refusing);
    let (second, second_lines) = Lines::of(&mut plant, &[&first]);
    second.until_ready().await;
    until_used(&second, &lives).await;
    plant.log.roll_back(copy);
    plant.log.set_fault(Fault::None);
    sleep(RETURN_TIME).await;
    renew(&plant, &lives, 1);
    sleep(BOUND).await;
    for lines in [first_lines, second_lines] {
        assert_eq!(lines.with("event=target_left"), Vec::<String>::new());
    }
    until_used(&second, &lives).await;
}

/// Where an entry's lines are kept.
struct Lines(PathBuf);

impl Lines {
    /// Starts an entry whose lines are kept.
    fn of(plant: &mut Plant, seeds: &[&Entry]) -> (Entry, Lines) {
        let settings = plant.settings(seeds);
        let name =
            format!("cowsliproad-{}.log", settings.caller_listen_address.ip());
        let path = std::env::temp_dir().join(name);
        let file = File::create(&path).expect("a file");
        (Entry::start_with(settings, file.into()), Lines(path))
    }

    /// Those that hold a text.
    fn with(&self, text: &str) -> Vec<String> {
        let lines = fs::read_to_string(&self.0).expect("its lines");
        let lines = lines.lines().filter(|it| it.contains(text));
        lines.map(str::to_string).collect()
    }
}

impl Drop for Lines {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Guards against forgetting a request that crashes its targets, and against
/// as many writes of it as there are entries.
#[tokio::test(flavor = "multi_thread")]
async fn refused_work_is_written_again_once() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    let mut targets: Vec<Arc<Target>> = Vec::new();
    for number in 0..6 {
        let id = format!("i-{number}");
        let config =
            TargetConfig::new(&id, "plain", "a").with_crashing_body(DEADLY);
        targets.push(plant.target_with(config).await);
    }
    let entries = plant.entries(3).await;
    let copy = Instant::now();
    let ended =
        || targets.iter().filter(|target| target.process_has_ended()).count();
    let mut sent = 0;
    while ended() < 3 {
        assert!(sent < 9, "the work ends no target");
        let _ = entries[sent % 3].ask_with("/many/a", KEY, DEADLY).await;
        sent += 1;
    }
    until("the log keeps it", async || {
        plant.log.record_count(QUARANTINE_TOPIC) > 0
    })
    .await;
    sleep(BOUND).await;
    plant.log.roll_back(copy);
    assert_eq!(plant.log.record_count(QUARANTINE_TOPIC), 0);
    // Those that still live renew theirs, which makes the rollback known.
    let living = targets.iter().filter(|it| !it.process_has_ended());
    living.for_each(|it| renew(&plant, it, 1));
    until("the log keeps it again", async || {
        plant.log.record_count(QUARANTINE_TOPIC) > 0
    })
    .await;
    // Whoever else has it would have written it by then.
    sleep(BOUND * 2).await;
    assert_eq!(plant.log.record_count(QUARANTINE_TOPIC), 1);
    // One that the others don't reach knows it, too.
    let alone = plant.entry().await;
    until("the work is refused", async || {
        alone.metric("quarantined").await.is_some()
    })
    .await;
    let before = ended();
    let answer = alone.ask_with("/many/a", KEY, DEADLY).await;
    let answer = answer.expect("an answer").status();
    assert_eq!(answer, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ended(), before);
}

/// Guards against waiting for the end of a long poll that the log took before
/// the rollback, in all later rollbacks too.
#[tokio::test(flavor = "multi_thread")]
async fn one_rollback_after_the_other_hides_nothing() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(0));
    let one = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    for round in 0..4 {
        let copy = Instant::now();
        renew(&plant, &one, 5);
        plant.catalog.publish(&plant.log);
        plant.catalog.publish(&plant.log);
        sleep(Duration::from_millis(100 + 400 * round)).await;
        plant.log.roll_back(copy);
        if round == 2 {
            plant.log.drop_history(CONFIG_TOPIC);
            plant.log.drop_history(TARGETS_TOPIC);
        }
        let back = Instant::now();
        renew(&plant, &one, 7);
        let path = format!("/new{round}/");
        plant.catalog = plant.catalog.clone().with_route(
            &path,
            RouteKind::Idempotent,
            "plain",
            1_000,
        );
        plant.catalog.publish(&plant.log);
        until("the new route holds", async || {
            entry.status(&path, KEY).await == Some(StatusCode::OK)
        })
        .await;
        assert!(back.elapsed() < BOUND, "{round}: {:?}", back.elapsed());
    }
}

/// Guards against entries that ask the log more than they have to, or all at
/// once. `ENTRIES=31` plays it at that size.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollback_costs_each_entry_five_calls() {
    let mut plant = Plant::start().await;
    plant.log.set_era(Some(1));
    let one = plant.target("i-1", "plain").await;
    let entries = plant.entries(siege::size(7)).await;
    // Calls of the start are over.
    sleep(BOUND).await;
    let quiet = calls(&plant, BOUND).await;
    let copy = Instant::now();
    renew(&plant, &one, 3);
    sleep(BOUND).await;
    let processor = || entries.iter().map(Entry::processor).sum();
    let before: Duration = processor();
    plant.log.roll_back(copy);
    let after = calls(&plant, BOUND).await;
    let used: Duration = processor() - before;
    println!(
        "{} entries: calls in 2 s {} without and {} with a rollback, in the \
         busiest 20 ms {} and {}; processor {used:?} of all",
        entries.len(),
        quiet.0,
        after.0,
        quiet.1,
        after.1,
    );
    // Three read a topic each, two wait again for what follows.
    assert!(after.0 <= 2 * quiet.0 + 5 * entries.len() as u64);
    for entry in &entries {
        assert_eq!(entry.metric("log_rollbacks").await, Some(1.0));
        let caught_up = entry.metric("log_caught_up_ms_count").await;
        assert_eq!(caught_up, Some(1.0));
    }
}

/// Calls that the log gets in a time, and in its busiest moment.
async fn calls(plant: &Plant, time: Duration) -> (u64, u64) {
    let begun = Instant::now();
    let first = plant.log.call_count();
    let (mut last, mut most) = (first, 0);
    while begun.elapsed() < time {
        sleep(Duration::from_millis(20)).await;
        let now = plant.log.call_count();
        most = most.max(now - last);
        last = now;
    }
    (last - first, most)
}
