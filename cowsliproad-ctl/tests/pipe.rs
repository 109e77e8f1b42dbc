//! Output that nobody reads.

use std::process::{Command, Stdio};

#[test]
fn a_closed_pipe_is_no_failure() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let status = Command::new(env!("CARGO_BIN_EXE_cowsliproad-ctl"))
        .args(["hash-key", "a"])
        .stdout(writer)
        .stderr(Stdio::null())
        .status();
    assert!(status.expect("it runs").success());
}
