//! Tests of the settings file of an entry process.

use cowsliproad_entry::settings::Settings;
use cowsliproad_kernel::settings;

fn check(text: &str, expected: &str) {
    let error = settings::parse::<Settings>("entry.json", text)
        .expect_err("the settings are bad");
    let error = error.to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn the_printed_default_is_read_back() {
    let text = settings::to_json(&Settings::example());
    let read = settings::parse::<Settings>("entry.json", &text);
    assert_eq!(settings::to_json(&read.expect("it is good")), text);
}

#[test]
fn an_unknown_field_is_named() {
    let text = settings::to_json(&Settings::example());
    check(&text.replace("\"grace_ms\"", "\"grace\""), "unknown field `grace`");
}

#[test]
fn an_ill_typed_field_is_named() {
    let text = settings::to_json(&Settings::example());
    check(&text.replace("\"threads\": 4", "\"threads\": \"x\""), "threads");
}

#[test]
fn a_value_out_of_range_is_named() {
    let mut settings = Settings::example();
    settings.max_in_flight = 0;
    check(&settings::to_json(&settings), "max_in_flight: at least 1");
}
