//! Command-line arguments and their dispatch.

mod command_args;

pub use command_args::{CommandArgs, run_command};
