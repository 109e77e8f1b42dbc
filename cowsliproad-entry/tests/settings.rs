//! Tests of the settings file of an entry process.

use cowsliproad_entry::settings::Settings;
use cowsliproad_kernel::settings;

fn assert_rejected_with(text: &str, expected: &str) {
    let error = settings::parse::<Settings>("entry.json", text)
        .expect_err("the settings are bad");
    let error = error.to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn printed_default_settings_parse() {
    let text = settings::to_json(&Settings::example());
    let read = settings::parse::<Settings>("entry.json", &text);
    assert_eq!(settings::to_json(&read.expect("it is good")), text);
}

#[test]
fn unknown_field_is_named_in_error() {
    let text = settings::to_json(&Settings::example());
    assert_rejected_with(
        &text.replace("\"grace_ms\"", "\"grace\""),
        "unknown field `grace`",
    );
}

#[test]
fn ill_typed_field_is_named_in_error() {
    let text = settings::to_json(&Settings::example());
    assert_rejected_with(
        &text.replace("\"threads\": 4", "\"threads\": \"x\""),
        "threads",
    );
}

#[test]
fn out_of_range_value_is_named_in_error() {
    let mut settings = Settings::example();
    settings.max_in_flight_requests = 0;
    assert_rejected_with(
        &settings::to_json(&settings),
        "max_in_flight: at least 1",
    );
}
