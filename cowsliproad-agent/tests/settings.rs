//! Parsing of the agent's settings file.

use cowsliproad_agent::settings::Settings;
use cowsliproad_kernel::settings;

#[test]
fn default_settings_round_trip() {
    let text = settings::to_json(&Settings::example());
    let read = settings::parse::<Settings>("agent.json", &text);
    assert_eq!(
        settings::to_json(&read.expect("the default settings are valid")),
        text
    );
}

#[test]
fn unknown_adapter_error_lists_adapters() {
    let mut settings = Settings::example();
    settings.adapter_name = "fax".into();
    let text = settings::to_json(&settings);
    let error = settings::parse::<Settings>("agent.json", &text)
        .expect_err("the adapter does not exist");
    let error = error.to_string();
    assert!(error.contains("adapter: one of engine, plain"), "{error}");
}
