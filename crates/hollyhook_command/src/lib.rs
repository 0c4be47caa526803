//! The operator's command: checks settings, shows a daemon's state, and runs stand-ins, the demo and load experiments.

mod args;
mod demo;
mod fixture;
mod load;
mod settings;
mod stand_in;
mod view;

pub use args::{CommandArgs, run_command};
