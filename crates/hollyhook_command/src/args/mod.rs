//! The command line.

mod command_args;

pub use command_args::{CommandArgs, run_command};
