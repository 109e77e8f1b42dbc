//! A ticket runs at most once and "not run" stays true.

use std::collections::{HashMap, HashSet};

use cowsliproad::{
    admission::{
        register::{SubmitVerdict, TicketRegister},
        ticket::{self, Ticket, TokenPurpose},
    },
    kernel::{clock::Millis, id},
};
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit(u64),
    Burn(u64),
    GiveUp(u64),
    Wait(u64),
    Seal,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..6u64).prop_map(Step::Submit),
        2 => (0..6u64).prop_map(Step::Burn),
        1 => (0..6u64).prop_map(Step::GiveUp),
        3 => (0..3_000_000u64).prop_map(Step::Wait),
        1 => Just(Step::Seal),
    ]
}

fn ticket(request: u64) -> Ticket {
    Ticket {
        purpose: TokenPurpose::Ticket,
        organisation: "a".into(),
        service: "s".into(),
        request_type: "t".into(),
        target: "x".into(),
        incarnation: id::Incarnation(1),
        request: id::Request(request),
        expiry: Millis(1_000_000 + request * 500_000),
    }
}

/// What a caller may have been told of a ticket.
#[derive(Default)]
struct History {
    ran: HashMap<u64, u32>,
    not_run: HashSet<u64>,
}

impl History {
    fn note(&mut self, request: u64, verdict: SubmitVerdict) {
        match verdict {
            SubmitVerdict::Run => *self.ran.entry(request).or_default() += 1,
            SubmitVerdict::Refused | SubmitVerdict::Expired => {
                self.not_run.insert(request);
            }
            SubmitVerdict::Duplicate
            | SubmitVerdict::TooOld
            | SubmitVerdict::RegisterFull => {}
        }
    }

    fn give_up(&mut self, request: u64) {
        // Only the gate gives up, and only work that has not started.
        if self.ran.remove(&request).is_some() {
            self.not_run.insert(request);
        }
    }
}

proptest! {
    #![proptest_config(crate::config(512))]

    #[test]
    fn a_ticket_runs_once_and_not_run_is_for_good(
        steps in prop::collection::vec(step(), 1..60),
        capacity in 1..5usize,
    ) {
        let mut register = TicketRegister::new(capacity);
        let mut history = History::default();
        let mut now = Millis(0);
        for step in steps {
            match step {
                Step::Submit(request) => {
                    let verdict = register.submit(&ticket(request), now);
                    history.note(request, verdict);
                }
                Step::Burn(request) => {
                    let verdict = register.refuse(&ticket(request), now);
                    history.note(request, verdict);
                }
                Step::GiveUp(request) => {
                    register.refuse_unsent_ticket(id::Request(request));
                    history.give_up(request);
                }
                Step::Wait(time) => now = now + Millis(time),
                Step::Seal => register.seal(),
            }
            for (request, runs) in &history.ran {
                prop_assert!(*runs <= 1, "{request} ran {runs} times");
                prop_assert!(!history.not_run.contains(request));
            }
            prop_assert!(register.len() <= capacity);
        }
    }

    #[test]
    fn a_changed_token_is_forged(
        position in 0..200usize,
        bit in 0..8u32,
        key in any::<[u8; 32]>(),
    ) {
        let text = ticket::sign(&ticket(7), &key);
        prop_assert_eq!(ticket::verify(&text, &key), Ok(ticket(7)));
        let mut bytes = text.clone().into_bytes();
        let position = position % bytes.len();
        bytes[position] ^= 1 << bit;
        let Ok(changed) = String::from_utf8(bytes) else { return Ok(()) };
        // The last character may carry bits that the decoder refuses or
        // that stand for nothing, but never for another ticket.
        if let Ok(read) = ticket::verify(&changed, &key) {
            prop_assert_eq!(read, ticket(7));
        }
    }
}

#[test]
fn another_key_opens_nothing() {
    let text = ticket::sign(&ticket(1), &[1; 32]);
    assert_eq!(ticket::verify(&text, &[2; 32]), Err(ticket::InvalidToken));
}
