//! Order, starvation and refusals of the queue; the retry budget.

use cowsliproad::{
    admission::{
        budget::RetryBudget,
        queue::{
            PushOutcome, Queue, QueueConfig, QueueItem,
            SERVED_ITEMS_PER_AGED_TURN, ServiceRate,
        },
    },
    kernel::{clock::Millis, wire::Urgency},
};
use proptest::prelude::*;

const PACE: ServiceRate = ServiceRate {
    slots: 4,
    mean_service_us: 10_000,
    min_start_interval_us: 0,
    next_start_delay_us: 0,
};

fn item(
    organisation: &str,
    urgency: Urgency,
    deadline: u64,
) -> QueueItem<u64> {
    QueueItem {
        organisation: organisation.into(),
        organisation_weight: 1,
        urgency,
        deadline: Millis(deadline),
        bytes: 0,
        work: 0,
    }
}

#[test]
fn urgent_work_goes_before_drafts_that_came_first() {
    let mut queue = Queue::new(QueueConfig::new());
    let draft = item("a", Urgency::Background, 100_000);
    queue.push(draft, PACE, Millis(0));
    queue.push(item("b", Urgency::Urgent, 100_000), PACE, Millis(500));
    assert_eq!(
        queue.pop(Millis(500)).map(|it| it.urgency),
        Some(Urgency::Urgent)
    );
}

#[test]
fn a_draft_past_its_patience_goes_within_a_round_of_urgent_work() {
    let config = QueueConfig::new();
    let patience = config.aging_delay(Urgency::Background);
    let mut queue = Queue::new(config);
    let draft = item("a", Urgency::Background, 1_000_000);
    queue.push(draft, PACE, Millis(0));
    let later = patience + Millis(1);
    let mut turns = 0;
    loop {
        turns += 1;
        let urgent = item("b", Urgency::Urgent, 1_000_000);
        queue.push(urgent, PACE, later);
        let next = queue.pop(later).expect("work waits");
        if next.urgency == Urgency::Background {
            break;
        }
        assert!(turns < SERVED_ITEMS_PER_AGED_TURN, "the draft starves");
    }
}

#[test]
fn aged_drafts_do_not_hold_urgent_work_up() {
    let config = QueueConfig::new();
    let late = config.aging_delay(Urgency::Background) + Millis(1);
    let mut queue = Queue::new(config);
    for _ in 0..200 {
        let draft = item("a", Urgency::Background, 1_000_000);
        queue.push(draft, PACE, Millis(0));
    }
    queue.push(item("b", Urgency::Urgent, 1_000_000), PACE, late);
    let place = std::iter::from_fn(|| queue.pop(late))
        .position(|it| it.urgency == Urgency::Urgent);
    assert!(place <= Some(1), "{place:?}");
}

#[test]
fn an_organisations_drafts_do_not_hold_up_its_own_urgent_work() {
    let mut queue = Queue::new(QueueConfig::new());
    for _ in 0..500 {
        let draft = item("a", Urgency::Normal, 1_000_000);
        queue.push(draft, PACE, Millis(0));
    }
    queue.push(item("b", Urgency::Urgent, 1_000_000), PACE, Millis(5));
    queue.push(item("a", Urgency::Urgent, 1_000_000), PACE, Millis(1));
    let first = queue.pop(Millis(5)).map(|it| it.organisation);
    assert_eq!(first.as_deref(), Some("a"));
}

#[test]
fn a_flood_waits_behind_another_organisation() {
    let mut queue = Queue::new(QueueConfig::new());
    for _ in 0..1_000 {
        let flood = item("flood", Urgency::Urgent, 1_000_000);
        queue.push(flood, PACE, Millis(0));
    }
    queue.push(item("other", Urgency::Urgent, 1_000_000), PACE, Millis(1));
    let place = std::iter::from_fn(|| queue.pop(Millis(1)))
        .position(|it| &*it.organisation == "other");
    assert!(place < Some(8), "{place:?}");
}

#[test]
fn work_that_can_not_be_on_time_is_refused_at_once() {
    let mut queue = Queue::new(QueueConfig::new());
    for _ in 0..100 {
        queue.push(item("a", Urgency::Urgent, 1_000_000), PACE, Millis(0));
    }
    let late = item("a", Urgency::Urgent, 100);
    let outcome = queue.push(late, PACE, Millis(0));
    assert!(
        matches!(outcome, PushOutcome::Refused(_, wait) if wait > Millis(0))
    );
}

#[test]
fn a_full_queue_gives_up_its_least_urgent_work() {
    let mut queue = Queue::new(QueueConfig::new().with_capacity(2));
    for _ in 0..2 {
        let draft = item("a", Urgency::Background, 1_000_000);
        queue.push(draft, PACE, Millis(0));
    }
    let urgent = item("a", Urgency::Urgent, 1_000_000);
    let outcome = queue.push(urgent, PACE, Millis(0));
    assert!(matches!(
        outcome,
        PushOutcome::Displaced(it, _) if it.urgency == Urgency::Background
    ));
}

/// Guards against a queue within its number of items that holds more memory
/// than its VM has.
#[test]
fn a_queue_of_large_bodies_gives_up_its_least_urgent_work() {
    let config = QueueConfig::new().with_byte_capacity(1_000);
    let mut queue = Queue::new(config);
    let sized =
        |urgency, bytes| QueueItem { bytes, ..item("a", urgency, 1_000_000) };
    for _ in 0..2 {
        let draft = sized(Urgency::Background, 500);
        let outcome = queue.push(draft, PACE, Millis(0));
        assert!(matches!(outcome, PushOutcome::Queued));
    }
    let another = sized(Urgency::Background, 1);
    let outcome = queue.push(another, PACE, Millis(0));
    assert!(matches!(outcome, PushOutcome::Refused(..)));
    let too_large = sized(Urgency::Urgent, 501);
    let outcome = queue.push(too_large, PACE, Millis(0));
    assert!(matches!(outcome, PushOutcome::Refused(..)));
    let urgent = sized(Urgency::Urgent, 500);
    let outcome = queue.push(urgent, PACE, Millis(0));
    assert!(matches!(
        outcome,
        PushOutcome::Displaced(it, _) if it.urgency == Urgency::Background
    ));
    assert_eq!(queue.queued_bytes(), 1_000);
    while queue.pop(Millis(0)).is_some() {}
    assert_eq!(queue.queued_bytes(), 0);
}

fn urgency() -> impl Strategy<Value = Urgency> {
    prop_oneof![
        Just(Urgency::Urgent),
        Just(Urgency::Normal),
        Just(Urgency::Background),
    ]
}

proptest! {
    #![proptest_config(crate::config(256))]

    #[test]
    fn every_item_comes_out_exactly_once(
        arrivals in prop::collection::vec(
            (urgency(), 0..4u8, 0..50u64, 20..5_000u64),
            1..120,
        ),
        capacity in 1..40usize,
    ) {
        let mut queue = Queue::new(QueueConfig::new().with_capacity(capacity));
        let mut now = Millis(0);
        let mut out = 0;
        for (index, (urgency, organisation, wait, deadline)) in
            arrivals.iter().enumerate()
        {
            now = now + Millis(*wait);
            while queue.remove_expired_item(PACE, now).is_some() {
                out += 1;
            }
            let name = format!("o{organisation}");
            let item = QueueItem {
                bytes: 0,
                work: index as u64,
                ..item(&name, *urgency, now.0 + deadline)
            };
            match queue.push(item, PACE, now) {
                PushOutcome::Queued => {}
                PushOutcome::Displaced(..) | PushOutcome::Refused(..) => out += 1,
            }
            prop_assert!(queue.len() <= capacity);
        }
        while queue.pop(now).is_some() {
            out += 1;
        }
        prop_assert_eq!(out, arrivals.len());
    }

    #[test]
    fn retries_are_bounded_by_successes(
        steps in prop::collection::vec(any::<bool>(), 1..2_000),
        percent in 0..50u32,
        reserve in 0..50u32,
    ) {
        let mut budget = RetryBudget::new(percent, reserve);
        let (mut successes, mut retries) = (0u64, 0u64);
        for success in steps {
            if success {
                budget.record_success();
                successes += 1;
            } else if budget.try_spend_retry() {
                retries += 1;
            }
        }
        let earned = successes * u64::from(percent) / 100;
        prop_assert!(retries <= earned + u64::from(reserve));
    }
}

/// Guards against restarts that grant all saved retries again.
#[test]
fn a_new_process_has_few_saved_retries() {
    let mut retries = 0;
    for _ in 0..4 {
        let mut budget = RetryBudget::new(10, 50);
        while budget.try_spend_retry() {
            retries += 1;
        }
    }
    assert!(retries <= 20, "{retries} after four starts");
}
