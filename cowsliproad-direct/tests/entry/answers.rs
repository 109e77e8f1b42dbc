//! Answers of plain services, good and bad.

use cowsliproad_platform_standin::target::Fault;
use http::StatusCode;

use crate::harness::{Plant, until};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_passed_on_unchanged_under_its_organisation() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    let answer = entry.ask("/many/a?b=c").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.body(), "whole answer of i-1");
    let runs = target.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].request_line, "POST /many/a?b=c");
    assert_eq!(runs[0].body, "body");
    assert_eq!(runs[0].organisation.as_deref(), Some("harju"));
    assert_eq!(runs[0].authorization, None);
    assert!(runs[0].time_left_ms.is_some_and(|it| it <= 4_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_longest_prefix_decides_and_strangers_are_refused() {
    let mut plant = Plant::start().await;
    let plain = plant.target("i-1", "plain").await;
    let model = plant.target("i-2", "model").await;
    let entry = plant.entry().await;
    let answer = entry.ask("/many/model/a").await.expect("an answer");
    assert_eq!(answer.body(), "whole answer of i-2");
    let answer = entry.ask("/nowhere/").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
    let answer = entry.ask_with("/many/a", "stolen", "").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    assert_eq!((plain.runs().len(), model.runs().len()), (0, 1));
}

/// A call that must not be repeated meets a fault: its caller hears what is
/// known, and it ran as often as that says.
async fn check_once(fault: Fault, status: StatusCode, runs: usize) {
    let mut plant = Plant::start().await;
    let one = plant.target("i-1", "plain").await;
    let two = plant.target("i-2", "plain").await;
    let entry = plant.entry().await;
    one.set_fault(fault);
    two.set_fault(fault);
    let answer = entry.ask("/once/a").await.expect("an answer");
    assert_eq!(answer.status(), status, "{fault:?}");
    let ran = one.runs().len() + two.runs().len();
    assert_eq!(ran, runs, "{fault:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn once_only_work_with_a_lost_answer_ran_once_and_is_not_denied() {
    check_once(Fault::LoseAnswer, StatusCode::BAD_GATEWAY, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn once_only_work_with_a_cut_answer_is_not_run_again() {
    check_once(Fault::Cut, StatusCode::BAD_GATEWAY, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_requests_answer_is_nobodys() {
    check_once(Fault::WrongRequestId, StatusCode::BAD_GATEWAY, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_signature_is_no_success() {
    check_once(Fault::NoSignature, StatusCode::BAD_GATEWAY, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_targets_own_failure_is_passed_on() {
    check_once(Fault::Failing, StatusCode::INTERNAL_SERVER_ERROR, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_whole_when_it_ends() {
    check_once(Fault::Unframed, StatusCode::OK, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_work_is_sent_again_and_runs_once() {
    check_once(Fault::Refuse, StatusCode::OK, 1).await;
}

/// Calls that may be repeated are answered whole until one has met the
/// fault, and that one too. Which target a call goes to is left to chance.
async fn check_idempotent(fault: Fault) {
    let mut plant = Plant::start().await;
    let one = plant.target("i-1", "plain").await;
    plant.target("i-2", "plain").await;
    let entry = plant.entry().await;
    one.set_fault(fault);
    until("the fault is met", async || {
        let answer = entry.ask("/many/a").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{fault:?}");
        let body = String::from_utf8_lossy(answer.body());
        assert!(body.starts_with("whole answer of i-"), "{fault:?}");
        one.arrivals() > 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_work_outlives_each_fault() {
    for fault in [
        Fault::LoseAnswer,
        Fault::Cut,
        Fault::WrongRequestId,
        Fault::NoSignature,
        Fault::Failing,
        Fault::Refuse,
        Fault::Silent,
        Fault::Unframed,
        Fault::ExtraAnswer,
    ] {
        check_idempotent(fault).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_an_answer_spoil_no_other() {
    let mut plant = Plant::start().await;
    let target = plant.target("i-1", "plain").await;
    let entry = plant.entry().await;
    for _ in 0..10 {
        target.set_fault(Fault::ExtraAnswer);
        for _ in 0..2 {
            let answer = entry.ask("/many/a").await.expect("an answer");
            assert_eq!(answer.body(), "whole answer of i-1");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_target_the_caller_is_told_when_to_come_back() {
    let mut plant = Plant::start().await;
    plant.target("i-1", "model").await;
    let entry = plant.entry().await;
    let answer = entry.ask("/once/a").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after = answer.headers().get(http::header::RETRY_AFTER);
    let after = after.and_then(|it| it.to_str().ok()?.parse::<f64>().ok());
    assert!(after.is_some_and(|it| it > 0.0 && it < 4.0), "{after:?}");
}
