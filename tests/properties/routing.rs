//! The choice of a target and the ejection of failing ones.

use cowsliproad::{
    kernel::{clock::Millis, wire::AgentLoad},
    routing::{
        choice,
        health::{Admit, Config, Health},
        score::Candidate,
    },
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

proptest! {
    #![proptest_config(crate::config(256))]

    #[test]
    fn an_unusable_target_is_never_chosen(
        usable in prop::collection::vec(any::<bool>(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let score = |index: usize| usable[index].then_some(index as u64);
        let found = choice::choose(usable.len(), &mut random, score);
        match found {
            Some(it) => {
                prop_assert!(usable[it.chosen]);
                if let Some((second, score_us)) = it.runner_up {
                    prop_assert!(usable[second] && second != it.chosen);
                    prop_assert!(score_us >= it.score_us);
                }
            }
            None => prop_assert!(!usable.contains(&true)),
        }
    }

    #[test]
    fn more_work_at_a_target_never_makes_it_look_better(
        queued_requests in 0..200u32,
        running_requests in 0..64u32,
        sent in 0..50u32,
        target_slots in 1..64u32,
        service_us in 1..1_000_000u32,
    ) {
        let load = AgentLoad {
            queued_requests,
            running_requests,
            target_slots,
            mean_service_time_us: service_us,
            accepted_requests_total: 0,
        };
        let less = Candidate { load, sent_since: sent, ..Candidate::default() };
        let more = Candidate { sent_since: sent + 1, ..less };
        prop_assert!(more.first_token_us() >= less.first_token_us());
    }

    #[test]
    fn the_back_off_is_bounded_and_ends(
        failures in 1..60u32,
        jitter in 0..100u64,
    ) {
        let most = Millis(10_000);
        let config = Config::new().with_back_off(Millis(100), most);
        let mut health = Health::new();
        let mut now = Millis(0);
        for _ in 0..failures {
            health.failure(&config, now, jitter);
            now = now + Millis(1);
        }
        let later = now + most + most;
        prop_assert_ne!(health.peek(later), Admit::No);
        health.success();
        prop_assert_eq!(health.peek(later), Admit::Yes);
    }
}

#[test]
fn a_target_that_fails_in_a_row_is_left_out_and_probed() {
    let config = Config::new().with_failures(3);
    let mut health = Health::new();
    for _ in 0..2 {
        health.failure(&config, Millis(0), 0);
    }
    assert_eq!(health.admit(Millis(0)), Admit::Yes);
    health.failure(&config, Millis(0), 0);
    assert_eq!(health.admit(Millis(1)), Admit::No);
    assert_eq!(health.admit(Millis(400)), Admit::Probe);
    assert_eq!(health.admit(Millis(401)), Admit::No);
}

#[test]
fn a_stated_time_is_not_probed_early() {
    let mut health = Health::new();
    health.stated(Millis(0), Millis(1_000));
    assert_eq!(health.admit(Millis(900)), Admit::No);
    assert_eq!(health.admit(Millis(1_000)), Admit::Probe);
}
