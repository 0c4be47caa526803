//! The settings of one process.

mod process_settings;

pub use process_settings::{LogFormat, ProcessSettings};
