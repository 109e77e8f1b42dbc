//! Each decoder that faces the outside takes any bytes without panicking,
//! and reads back what was written.

use cowsliproad::{
    admission::ticket,
    config::fold,
    kernel::{
        clock::Millis,
        id, settings,
        wire::{
            self, AgentLoad, Frame, Heartbeat, ProcessPhase,
            RequestPersistence, SubmitMode, SubmitRequest, TargetProcessState,
            Urgency,
        },
    },
};
use proptest::prelude::*;

fn submit() -> impl Strategy<Value = SubmitRequest> {
    (
        any::<[u64; 3]>(),
        ".{0,12}",
        prop::option::of(prop::collection::vec(any::<u8>(), 0..40)),
        prop::option::of(".{1,8}"),
        prop::collection::vec(any::<u8>(), 0..200),
    )
        .prop_map(|(numbers, name, ticket, key, body)| SubmitRequest {
            attempt: id::Attempt(numbers[0]),
            request: id::Request(numbers[1]),
            organisation: name.as_str().into(),
            request_type: "t".into(),
            urgency: Urgency::Normal,
            time_left: Millis(numbers[2]),
            ticket,
            idempotency_key: key.map(|it| it.as_str().into()),
            persistence: RequestPersistence::Keep,
            queue_weight: 1,
            body,
            mode: match numbers[0] % 2 {
                0 => SubmitMode::Run,
                _ => SubmitMode::ReportOnly,
            },
        })
}

proptest! {
    #![proptest_config(crate::config(512))]

    #[test]
    fn frames_are_read_back(submit in submit(), load in any::<[u32; 4]>()) {
        let beat = Heartbeat {
            sender_name: "x".into(),
            incarnation: id::Incarnation(submit.request.0),
            sender_clock: submit.time_left,
            phase: ProcessPhase::Leaving,
            load: AgentLoad {
                queued_requests: load[0],
                running_requests: load[1],
                target_request_slots: load[2],
                mean_service_time_us: load[3],
                accepted_requests_total: 1,
            },
            target_cooldown_remaining: Millis(u64::from(load[0])),
            presence: TargetProcessState::Gone,
            taken_over_incarnations: vec![id::Incarnation(1)],
            next_config_offset: 3,
        };
        for frame in
            [Frame::SubmitRequest(Box::new(submit)), Frame::Heartbeat(beat)]
        {
            let bytes = wire::encode(&frame);
            prop_assert_eq!(wire::decode(&bytes), Some(frame));
        }
    }

    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = wire::decode(&bytes);
        let _ = fold::decode_record(&bytes);
        let _ = fold::decode_state(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = ticket::verify(&text, &[0; 32]);
        type Entry = cowsliproad_entry::settings::Settings;
        prop_assert!(settings::parse::<Entry>("x", &text).is_err());
    }

    #[test]
    fn changed_frames_are_survived(
        submit in submit(),
        changes in prop::collection::vec(
            (any::<prop::sample::Index>(), any::<u8>()),
            1..6,
        ),
    ) {
        let mut bytes = wire::encode(&Frame::SubmitRequest(Box::new(submit)));
        for (place, value) in changes {
            let place = place.index(bytes.len());
            bytes[place] = value;
        }
        let _ = wire::decode(&bytes);
    }
}

#[test]
fn deep_nesting_is_refused() {
    // Ten thousand nested arrays.
    let bytes = vec![0x81; 10_000];
    assert_eq!(wire::decode(&bytes), None);
    assert_eq!(fold::decode_record(&bytes), None);
}
