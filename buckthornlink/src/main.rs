//! The `buckthornlink` program.

use std::process::ExitCode;

use clap::Parser;

use buckthornlink::command::Arguments;

fn main() -> ExitCode {
    Arguments::parse().run()
}
