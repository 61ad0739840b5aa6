//! What the tests of the command line share.

use std::process::{Command, Output};

/// Runs the command line with these arguments.
pub fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornlink"));
    command
        .args(args)
        .env_remove("BUCKTHORNLINK_STORE")
        .env("USER", "ana");
    command.output().unwrap()
}
