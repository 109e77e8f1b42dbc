//! The agent's settings file.

use cowsliproad_agent::settings::Settings;
use cowsliproad_kernel::settings;

#[test]
fn the_printed_default_is_read_back() {
    let text = settings::to_json(&Settings::example());
    let read = settings::parse::<Settings>("agent.json", &text);
    assert_eq!(settings::to_json(&read.expect("it is good")), text);
}

#[test]
fn an_unknown_adapter_is_answered_with_the_known_ones() {
    let mut settings = Settings::example();
    settings.adapter = "fax".into();
    let text = settings::to_json(&settings);
    let error = settings::parse::<Settings>("agent.json", &text)
        .expect_err("there is no such adapter");
    let error = error.to_string();
    assert!(error.contains("adapter: one of engine, plain"), "{error}");
}
