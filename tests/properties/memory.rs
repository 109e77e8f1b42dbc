//! The account of the bytes that callers make a process hold.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Wake, Waker},
};

use cowsliproad_admission::memory::{
    Account, Charge, Download, NoRoom, SMALL_BYTES, STALL_TIMEOUT, StoredBody,
    Upload, UploadError,
};
use cowsliproad_kernel::clock::Millis;
use proptest::prelude::*;

use crate::config;

/// Sixteen of the largest bodies.
const CAPACITY: usize = 16 * MAX_BODY;

const MAX_BODY: usize = 256 << 10;

/// What large holders may have together.
const FOR_LARGE: usize = CAPACITY / 4 * 3;

/// A step of the callers of a process.
#[derive(Clone, Debug)]
enum Step {
    Start,
    /// Sends bytes of the body with an index.
    Push(usize, usize),
    /// Sends the same in pieces of one byte.
    Trickle(usize, usize),
    Finish(usize),
    /// Closes the connection of an unfinished body.
    Leave(usize),
    /// Answers a whole body.
    Release(usize),
    Answer(usize),
    ReleaseAnswer(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let index = || 0_usize..24;
    prop_oneof![
        3 => Just(Step::Start),
        8 => (index(), 1..100_000_usize).prop_map(|(it, n)| Step::Push(it, n)),
        1 => (index(), 1..500_usize).prop_map(|(it, n)| Step::Trickle(it, n)),
        2 => index().prop_map(Step::Finish),
        1 => index().prop_map(Step::Leave),
        1 => index().prop_map(Step::Release),
        2 => (1..200_000_usize).prop_map(Step::Answer),
        1 => index().prop_map(Step::ReleaseAnswer),
        2 => (1..400_u64).prop_map(Step::Wait),
    ]
}

/// A body that its caller has not finished, with all that was sent.
struct Sending {
    upload: Upload,
    sent: Vec<u8>,
}

/// The process, as its callers see it.
struct Model {
    account: Account,
    now: Millis,
    sending: Vec<Sending>,
    whole: Vec<(StoredBody, Vec<u8>)>,
    answers: Vec<Charge>,
}

impl Model {
    fn new() -> Model {
        Model {
            account: Account::new(CAPACITY),
            now: Millis(0),
            sending: Vec::new(),
            whole: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn push(&mut self, index: usize, count: usize, piece: usize) {
        let Some(body) = self.sending.get_mut(index) else { return };
        for start in (0..count).step_by(piece) {
            let length = piece.min(count - start);
            let byte = body.sent.len() as u8;
            let bytes: Vec<u8> =
                (0..length).map(|it| byte.wrapping_add(it as u8)).collect();
            match body.upload.push(&bytes, self.now) {
                Ok(()) => body.sent.extend(bytes),
                Err(_) => {
                    self.sending.remove(index);
                    return;
                }
            }
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Start => {
                let upload = self.account.start_upload(self.now);
                self.sending.push(Sending { upload, sent: Vec::new() });
            }
            Step::Push(index, count) => self.push(index, count, count),
            Step::Trickle(index, count) => self.push(index, count, 1),
            Step::Finish(index) if index < self.sending.len() => {
                let body = self.sending.remove(index);
                if let Ok(stored) = body.upload.finish() {
                    self.whole.push((stored, body.sent));
                }
            }
            Step::Leave(index) if index < self.sending.len() => {
                self.sending.remove(index);
            }
            Step::Release(index) if index < self.whole.len() => {
                self.whole.remove(index);
            }
            Step::Answer(bytes) => {
                self.answers.extend(self.account.charge(bytes, self.now));
            }
            Step::ReleaseAnswer(index) if index < self.answers.len() => {
                self.answers.remove(index);
            }
            Step::Wait(time) => self.now = self.now + Millis(time),
            Step::Finish(_)
            | Step::Leave(_)
            | Step::Release(_)
            | Step::ReleaseAnswer(_) => {}
        }
    }
}

fn held(account: &Account) -> usize {
    account.usage().held_bytes
}

fn bytes_of(stored: &StoredBody) -> Vec<u8> {
    stored.pieces().concat()
}

/// A body of which so much was sent.
fn unfinished(account: &Account, bytes: usize, now: Millis) -> Upload {
    let mut upload = account.start_upload(now);
    upload.push(&vec![1; bytes], now).expect("there is room");
    upload
}

/// Bodies that stop short of their end, until there is no room for another.
fn fill(account: &Account, now: Millis) -> Vec<Upload> {
    let mut uploads = Vec::new();
    loop {
        let mut upload = account.start_upload(now);
        if upload.push(&vec![1; MAX_BODY - 1], now).is_err() {
            return uploads;
        }
        uploads.push(upload);
    }
}

fn is_evicted(upload: &Upload) -> bool {
    upload.poll_evicted(&Context::from_waker(Waker::noop())).is_ready()
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against holding more than the capacity, against bytes that stay
    /// charged or are freed twice, and against changed bodies.
    #[test]
    fn the_account_keeps_its_capacity_and_every_whole_body(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut model = Model::new();
        for step in steps {
            model.play(step);
            prop_assert!(held(&model.account) <= CAPACITY);
        }
        for (stored, sent) in &model.whole {
            prop_assert_eq!(&bytes_of(stored), sent);
        }
        let whole: usize = model.whole.iter().map(|it| it.0.len()).sum();
        prop_assert!(held(&model.account) >= whole);
        let account = model.account.clone();
        drop(model);
        prop_assert_eq!(held(&account), 0);
    }

    /// Guards against a cost of chunks beyond their bytes.
    #[test]
    fn a_body_costs_its_bytes_however_it_arrives(
        pieces in prop::collection::vec(1..2_000_usize, 1..200),
    ) {
        let account = Account::new(CAPACITY);
        let mut upload = account.start_upload(Millis(0));
        let mut length = 0;
        for piece in pieces {
            upload.push(&vec![7; piece], Millis(0)).expect("there is room");
            length += piece;
            prop_assert!(held(&account) <= 2 * length + 2_000);
        }
        let stored = upload.finish().expect("whole");
        prop_assert_eq!(stored.len(), length);
        drop(stored);
        prop_assert_eq!(held(&account), 0);
    }

    /// Guards against a deadlock: whatever unfinished bodies hold, a body that
    /// goes on gets through once they have stopped.
    #[test]
    fn a_body_that_goes_on_gets_through_stopped_ones(
        stopped in prop::collection::vec(1..MAX_BODY, 1..60),
        piece in 1_000..MAX_BODY,
    ) {
        let account = Account::new(CAPACITY);
        let mut uploads = Vec::new();
        for bytes in stopped {
            let mut upload = account.start_upload(Millis(0));
            if upload.push(&vec![1; bytes], Millis(0)).is_ok() {
                uploads.push(upload);
            }
        }
        let later = STALL_TIMEOUT;
        let mut upload = account.start_upload(later);
        for start in (0..MAX_BODY).step_by(piece) {
            let length = piece.min(MAX_BODY - start);
            let pushed = upload.push(&vec![1; length], later);
            prop_assert_eq!(pushed, Ok(()));
        }
        prop_assert!(upload.finish().is_ok());
    }

    /// Guards against bodies that all wait for one another's room: of those
    /// that go on at the same pace, some get through.
    #[test]
    fn of_bodies_that_all_go_on_some_get_through(
        count in 17..100_usize,
        piece in 4_000..64_000_usize,
    ) {
        let account = Account::new(CAPACITY);
        let mut uploads: Vec<Upload> =
            (0..count).map(|_| account.start_upload(Millis(0))).collect();
        let mut now = Millis(0);
        for _ in 0..MAX_BODY.div_ceil(piece) {
            now = now + Millis(1);
            uploads.retain_mut(|it| it.push(&vec![1; piece], now).is_ok());
        }
        prop_assert!(!uploads.is_empty());
        prop_assert!(uploads.into_iter().all(|it| it.finish().is_ok()));
    }
}

/// Guards against ordinary callers who find no room beside large bodies that
/// still arrive.
#[test]
fn a_small_body_gets_room_from_large_ones_that_go_on() {
    let account = Account::new(CAPACITY);
    let large = fill(&account, Millis(0));
    // Whole small bodies take the part that is for them.
    let small: Vec<_> = (0..FOR_LARGE / 3 / SMALL_BYTES)
        .map(|_| account.store(&[1; SMALL_BYTES], Millis(0)).expect("room"))
        .collect();
    let stored = account.store(&[1; 4_096], Millis(0));
    assert!(stored.is_ok());
    let mut upload = account.start_upload(Millis(0));
    assert_eq!(upload.push(&[1; 4_096], Millis(0)), Ok(()));
    assert!(large.iter().any(is_evicted));
    assert_eq!(small.iter().map(StoredBody::len).sum::<usize>(), CAPACITY / 4);
}

/// Guards against whole bodies that leave no room for ordinary callers.
#[test]
fn whole_large_bodies_leave_room_for_small_ones() {
    let account = Account::new(CAPACITY);
    let mut whole = Vec::new();
    while let Ok(stored) = account.store(&vec![1; MAX_BODY], Millis(0)) {
        whole.push(stored);
    }
    assert_eq!(whole.len(), FOR_LARGE / MAX_BODY);
    let later = Millis(60_000);
    let mut upload = account.start_upload(later);
    assert_eq!(upload.push(&[1; 4_096], later), Ok(()));
    assert!(account.store(&[1; SMALL_BYTES], later).is_ok());
    // Another large one is refused, and none of the whole ones is lost.
    assert_eq!(
        account.store(&vec![1; MAX_BODY], later).map(|it| it.len()),
        Err(NoRoom)
    );
    assert!(whole.iter().all(|it| it.len() == MAX_BODY));
}

/// Guards against refusing an answer that a target has already made.
#[test]
fn an_answer_gets_room_from_any_unfinished_body() {
    let account = Account::new(CAPACITY);
    let uploads = fill(&account, Millis(0));
    let mut answer = Download::new(&account);
    for _ in 0..4 {
        assert_eq!(answer.push(&[1; SMALL_BYTES], Millis(0)), Ok(()));
    }
    assert_eq!(answer.finish().len(), 4 * SMALL_BYTES);
    assert!(uploads.iter().any(is_evicted));
}

/// Guards against a body that trickles and so keeps its room.
#[test]
fn a_trickle_is_no_headway() {
    let account = Account::new(CAPACITY);
    let mut trickle = unfinished(&account, MAX_BODY / 2, Millis(0));
    let mut steady = unfinished(&account, MAX_BODY / 2, Millis(0));
    for step in 1..=10 {
        let now = Millis(100 * step);
        trickle.push(&[1; 1_000], now).expect("there is room");
        steady.push(&[1; 32 << 10], now).expect("there is room");
    }
    assert_eq!(trickle.last_headway(), Millis(0));
    assert_eq!(steady.last_headway(), Millis(1_000));
    let now = Millis(1_000);
    let mut others = Vec::new();
    while !is_evicted(&trickle) {
        let mut other = account.start_upload(now);
        assert_eq!(other.push(&vec![1; MAX_BODY], now), Ok(()));
        others.push(other);
    }
    assert!(!is_evicted(&steady));
    assert_eq!(trickle.push(&[1], now), Err(UploadError::Evicted));
    assert_eq!(trickle.finish().map(|it| it.len()), Err(UploadError::Evicted));
}

/// Guards against evicting the one that has least, or has just gone on.
#[test]
fn the_first_to_give_way_holds_most_for_longest() {
    let account = Account::new(CAPACITY);
    let small = unfinished(&account, SMALL_BYTES, Millis(0));
    let large = unfinished(&account, 4 * SMALL_BYTES, Millis(0));
    let newer = unfinished(&account, 4 * SMALL_BYTES, Millis(900));
    let now = Millis(1_000);
    let free = FOR_LARGE - held(&account);
    let whole = account.store(&vec![1; free + 1], now);
    assert!(whole.is_ok());
    assert!(is_evicted(&large));
    assert!(!is_evicted(&small));
    assert!(!is_evicted(&newer));
}

/// Guards against evicting bodies for one that doesn't fit all the same.
#[test]
fn nobody_gives_way_in_vain() {
    let account = Account::new(CAPACITY);
    let whole = account.store(&vec![1; FOR_LARGE - SMALL_BYTES], Millis(0));
    let upload = unfinished(&account, SMALL_BYTES, Millis(0));
    let refused = account.store(&vec![1; 4 * SMALL_BYTES], Millis(60_000));
    assert_eq!(refused.map(|it| it.len()), Err(NoRoom));
    assert!(!is_evicted(&upload));
    assert!(whole.is_ok());
}

/// Guards against the task of an evicted body that nobody wakes.
#[test]
fn an_evicted_body_wakes_its_task() {
    struct Counter(AtomicUsize);
    impl Wake for Counter {
        fn wake(self: Arc<Counter>) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }
    let account = Account::new(CAPACITY);
    let upload = unfinished(&account, MAX_BODY, Millis(0));
    let counter = Arc::new(Counter(AtomicUsize::new(0)));
    let waker = Waker::from(counter.clone());
    assert!(upload.poll_evicted(&Context::from_waker(&waker)).is_pending());
    let charge = account.charge(FOR_LARGE, Millis(0));
    assert!(charge.is_ok());
    assert_eq!(counter.0.load(Ordering::Relaxed), 1);
    assert_eq!(held(&account), FOR_LARGE);
}
