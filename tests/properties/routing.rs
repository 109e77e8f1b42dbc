//! The choice of a target and the ejection of failing ones.

use cowsliproad::{
    kernel::{clock::Millis, wire::AgentLoad},
    routing::{
        choice,
        health::{AttemptAdmission, EjectionConfig, TargetHealth},
        score::TargetCandidate,
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
        let found = choice::choose_target(usable.len(), &mut random, score);
        match found {
            Some(it) => {
                prop_assert!(usable[it.chosen_index]);
                if let Some((second, score_us)) = it.runner_up_index_and_score_us {
                    prop_assert!(usable[second] && second != it.chosen_index);
                    prop_assert!(score_us >= it.chosen_score_us);
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
        target_request_slots in 1..64u32,
        service_us in 1..1_000_000u32,
    ) {
        let load = AgentLoad {
            queued_requests,
            running_requests,
            target_request_slots,
            mean_service_time_us: service_us,
            accepted_requests_total: 0,
        };
        let less = TargetCandidate {
            reported_load: load,
            requests_sent_since_report: sent,
            ..TargetCandidate::default()
        };
        let more = TargetCandidate { requests_sent_since_report: sent + 1, ..less };
        prop_assert!(
            more.predicted_first_token_us() >= less.predicted_first_token_us()
        );
    }

    #[test]
    fn the_back_off_is_bounded_and_ends(
        failures in 1..60u32,
        jitter in 0..100u64,
    ) {
        let most = Millis(10_000);
        let config = EjectionConfig::new().with_ejection_backoff(Millis(100), most);
        let mut health = TargetHealth::new();
        let mut now = Millis(0);
        for _ in 0..failures {
            health.record_failure(&config, now, jitter);
            now = now + Millis(1);
        }
        let later = now + most + most;
        prop_assert_ne!(health.peek_admission(later), AttemptAdmission::Deny);
        health.record_success();
        prop_assert_eq!(health.peek_admission(later), AttemptAdmission::Allow);
    }
}

#[test]
fn a_target_that_fails_in_a_row_is_left_out_and_probed() {
    let config = EjectionConfig::new().with_failures_to_eject(3);
    let mut health = TargetHealth::new();
    for _ in 0..2 {
        health.record_failure(&config, Millis(0), 0);
    }
    assert_eq!(health.admit_attempt(Millis(0)), AttemptAdmission::Allow);
    health.record_failure(&config, Millis(0), 0);
    assert_eq!(health.admit_attempt(Millis(1)), AttemptAdmission::Deny);
    assert_eq!(health.admit_attempt(Millis(400)), AttemptAdmission::Probe);
    assert_eq!(health.admit_attempt(Millis(401)), AttemptAdmission::Deny);
}

#[test]
fn a_stated_time_is_not_probed_early() {
    let mut health = TargetHealth::new();
    health.set_retry_after(Millis(0), Millis(1_000));
    assert_eq!(health.admit_attempt(Millis(900)), AttemptAdmission::Deny);
    assert_eq!(health.admit_attempt(Millis(1_000)), AttemptAdmission::Probe);
}
