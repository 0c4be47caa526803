//! Settings of one daemon process.

mod process_settings;

pub use process_settings::{LogFormat, ProcessSettings};
