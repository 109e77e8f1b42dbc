//! The ends of a process by itself, and of its tasks: each leaves its reason in
//! the log.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

/// The program that fails as its settings say, an example of this package.
/// `cargo test -p cowsliproad-net` builds it.
fn failing_program() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let build = test.parent().and_then(|it| it.parent()).expect("a folder");
    build.join("examples").join("failing_program")
}

fn run(failure: &str) -> (Output, String) {
    let name = format!("cowsliproad-ends-{}-{failure}", std::process::id());
    let settings = std::env::temp_dir().join(name);
    let text = format!("{{\"failure\": \"{failure}\"}}");
    fs::write(&settings, text).expect("a file");
    let output = Command::new(failing_program())
        .env("FAILING_SETTINGS", &settings)
        .output()
        .expect("the example is built");
    fs::remove_file(&settings).expect("the file is there");
    let log = String::from_utf8_lossy(&output.stdout).into_owned();
    (output, log)
}

fn check_line(log: &str, parts: &[&str]) {
    let has_line =
        log.lines().any(|line| parts.iter().all(|it| line.contains(it)));
    assert!(has_line, "no line with {parts:?}: {log}");
}

/// Guards against a process that fails and says why on standard error only.
#[test]
fn an_error_of_the_program_is_its_last_log_line() {
    let (output, log) = run("error");
    assert_eq!(output.status.code(), Some(1));
    check_line(&log, &["event=ended", "nothing works", "vm=vm-1"]);
}

/// Guards against a process that a panic ends without a line in its log.
#[test]
fn a_panic_of_the_program_is_in_its_log() {
    let (output, log) = run("panic");
    assert_eq!(output.status.code(), Some(1));
    check_line(&log, &["event=panicked", "main task is wrong", "at="]);
    check_line(&log, &["event=ended", "main task is wrong"]);
}

/// Guards against a task that panics, and leaves a process that lives, does
/// less and says nothing.
#[test]
fn a_task_that_panics_is_logged_and_starts_again() {
    let (output, log) = run("task");
    assert_eq!(output.status.code(), Some(0), "{log}");
    let starts = log.matches("event=panicked").count();
    assert!(starts >= 2, "{starts} starts: {log}");
    check_line(&log, &["event=task_ended", "task=task", "panicked=true"]);
}
