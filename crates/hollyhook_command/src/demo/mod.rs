//! The main job on one machine: a generation goes on though its engines are killed.

mod demo_run;

pub(crate) use demo_run::{DemoArgs, run_demo};
