//! The operators' page names every setting and every log event.

use std::{collections::BTreeSet, fs, path::Path};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

fn check_settings(settings: serde_json::Value) {
    let fields = settings.as_object().expect("settings are an object");
    for field in fields.keys() {
        assert!(PAGE.contains(&format!("`{field}`")), "setting {field}");
    }
}

#[test]
fn every_setting_is_described() {
    let entry = cowsliproad_entry::settings::Settings::example();
    check_settings(serde_json::to_value(entry).expect("it is JSON"));
    let agent = cowsliproad_agent::settings::Settings::example();
    check_settings(serde_json::to_value(agent).expect("it is JSON"));
    let direct = cowsliproad_direct::settings::Settings::example();
    check_settings(serde_json::to_value(direct).expect("it is JSON"));
    let rank = cowsliproad_rank::settings::Settings::example();
    check_settings(serde_json::to_value(rank).expect("it is JSON"));
}

/// The events that the sources of a program log.
fn events(directory: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("a directory").flatten() {
        let path = entry.path();
        if path.is_dir() {
            events(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source file");
        for mark in ["info!(", "warn!(", "debug!("] {
            for call in text.split(mark).skip(1) {
                let event = call.split('"').nth(1).unwrap_or_default();
                found.insert(event.to_string());
            }
        }
    }
}

#[test]
fn every_log_event_is_described() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = BTreeSet::new();
    events(&root.join("cowsliproad-entry/src"), &mut found);
    events(&root.join("cowsliproad-agent/src"), &mut found);
    events(&root.join("cowsliproad-direct/src"), &mut found);
    events(&root.join("cowsliproad-rank/src"), &mut found);
    assert!(found.len() > 20, "{found:?}");
    for event in found {
        assert!(PAGE.contains(&format!("`{event}`")), "event {event}");
    }
}
