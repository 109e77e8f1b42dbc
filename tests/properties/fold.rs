//! The fold is the same everywhere and never goes back.

use cowsliproad::{
    config::{
        ConfigObject, ConfigState,
        fold::{
            ChangeOutcome, ConfigChange, ConfigRecord, MissingRecordError,
            decode_record, decode_state, encode_record, encode_state,
        },
        object::{
            Backend, DrainOrder, ObjectKey, ObjectKind, Organisation, Service,
            Target,
        },
    },
    kernel::{code::ResultCode, id::Command},
};
use proptest::prelude::*;

fn object() -> impl Strategy<Value = ConfigObject> {
    let name = || prop::sample::select(vec!["a", "b", "c"]);
    prop_oneof![
        (name(), 1..4u32).prop_map(|(name, share)| {
            ConfigObject::Organisation(Organisation {
                name: name.into(),
                api_key_hashes: Vec::new(),
                capacity_weight: share,
                max_in_flight: 10,
            })
        }),
        name().prop_map(|name| {
            let backend = Backend::Plain;
            ConfigObject::Service(Service { name: name.into(), backend })
        }),
        (name(), name(), 1..9u16).prop_map(|(name, service, port)| {
            ConfigObject::Target(Target {
                name: name.into(),
                service: service.into(),
                zone: "z".into(),
                agent_address: ([127, 0, 0, 1], port).into(),
            })
        }),
        name().prop_map(|name| ConfigObject::Drain(DrainOrder {
            target: name.into()
        })),
    ]
}

fn change() -> impl Strategy<Value = ConfigChange> {
    prop_oneof![
        3 => (0..40u64, object())
            .prop_map(|(base, object)| {
                ConfigChange::Put { base_revision: base, object }
            }),
        1 => (0..40u64, object()).prop_map(|(base, object)| {
            ConfigChange::Delete { base_revision: base, key: object.key() }
        }),
    ]
}

/// Records as a log holds them, some of them repeated or unreadable.
fn records() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let record = (0..30u64, change()).prop_map(|(command, change)| {
        encode_record(&ConfigRecord { command: Command(command), change })
    });
    let garbage = prop::collection::vec(any::<u8>(), 0..40);
    prop::collection::vec(prop_oneof![9 => record, 1 => garbage], 1..60)
}

fn fold(records: &[Vec<u8>]) -> ConfigState {
    let mut state = ConfigState::new();
    for (offset, record) in (1..).zip(records) {
        state.apply_record(offset, record).expect("the offsets follow");
    }
    state
}

proptest! {
    #![proptest_config(crate::config(256))]

    #[test]
    fn replicas_agree_however_the_records_reach_them(
        records in records(),
        cut in any::<prop::sample::Index>(),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 8),
    ) {
        let expected = fold(&records);
        // This replica takes a peer's state over in the middle, and then
        // sees old records again.
        let cut = cut.index(records.len());
        let peer = encode_state(&fold(&records[..cut]));
        let mut state = ConfigState::new();
        state.adopt_newer_peer_state(decode_state(&peer).expect("a state"));
        for (index, record) in records.iter().enumerate().skip(cut) {
            for repeat in &repeats {
                let old = repeat.index(index + 1);
                if old < index {
                    let before = state.clone();
                    let _ = state.apply_record(old as u64 + 1, &records[old]);
                    prop_assert_eq!(&before, &state);
                }
            }
            state.apply_record(index as u64 + 1, record).expect("it follows");
        }
        prop_assert_eq!(state, expected);
    }

    #[test]
    fn a_record_is_read_back(command in any::<u64>(), change in change()) {
        let record = ConfigRecord { command: Command(command), change };
        prop_assert_eq!(decode_record(&encode_record(&record)), Some(record));
    }

    #[test]
    fn a_verdict_never_changes(records in records()) {
        let mut state = ConfigState::new();
        let mut verdicts = std::collections::HashMap::new();
        for (offset, record) in (1..).zip(&records) {
            if let Ok(Some((command, verdict))) =
                state.apply_record(offset, record)
            {
                let first = *verdicts.entry(command).or_insert(verdict);
                prop_assert_eq!(first, verdict);
            }
        }
        for (command, verdict) in verdicts {
            prop_assert_eq!(state.command_outcome(command), Some(verdict));
        }
    }

    #[test]
    fn what_an_object_needs_is_always_there(records in records()) {
        let state = fold(&records);
        for versioned in state.objects() {
            for key in versioned.object.dependencies() {
                prop_assert!(state.get(&key).is_some(), "{key}");
            }
        }
    }

    #[test]
    fn an_older_state_is_not_taken_over(
        records in records(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut state = fold(&records);
        let before = state.clone();
        state.adopt_newer_peer_state(fold(&records[..cut.index(records.len())]));
        prop_assert_eq!(state, before);
    }
}

fn service(name: &str) -> ConfigObject {
    let backend = Backend::Plain;
    ConfigObject::Service(Service { name: name.into(), backend })
}

fn put(
    state: &mut ConfigState,
    command: u64,
    base: u64,
    name: &str,
) -> ChangeOutcome {
    let change =
        ConfigChange::Put { base_revision: base, object: service(name) };
    let record = ConfigRecord { command: Command(command), change };
    let outcome =
        state.apply_record(state.next_offset(), &encode_record(&record));
    outcome.expect("no gap").expect("a command").1
}

#[test]
fn of_two_racing_operators_the_first_in_the_log_wins() {
    let mut state = ConfigState::new();
    assert_eq!(put(&mut state, 1, 0, "a"), ChangeOutcome::Accepted(1));
    assert_eq!(put(&mut state, 2, 1, "a"), ChangeOutcome::Accepted(2));
    let stale = ChangeOutcome::Refused(ResultCode::StaleBase);
    assert_eq!(put(&mut state, 3, 1, "a"), stale);
}

#[test]
fn a_repeated_command_changes_nothing() {
    let mut state = ConfigState::new();
    assert_eq!(put(&mut state, 1, 0, "a"), ChangeOutcome::Accepted(1));
    assert_eq!(put(&mut state, 1, 0, "a"), ChangeOutcome::Accepted(1));
    let key = ObjectKey::new(ObjectKind::Service, "a");
    assert_eq!(state.get(&key).map(|it| it.revision), Some(1));
}

#[test]
fn a_default_state_is_a_new_one() {
    assert_eq!(ConfigState::default(), ConfigState::new());
    assert_eq!(ConfigState::default().next_offset(), 1);
}

#[test]
fn a_gap_is_refused() {
    let mut state = ConfigState::new();
    assert_eq!(
        state.apply_record(5, &[]),
        Err(MissingRecordError { expected_offset: 1 })
    );
}
