//! Demonstration on one machine: a generation continues although its engines are killed.

mod demo_run;

pub(crate) use demo_run::{DemoArgs, run_demo};
