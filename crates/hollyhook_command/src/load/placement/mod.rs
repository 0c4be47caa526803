//! Simulation of placement policies in virtual time on a model of the engines; the policy `ask-two` runs the gateway's
//! own decision code.

mod engine_model;
mod fleet_model;
mod host_model;
mod placement_plot;
mod placement_run;
mod report_log;

pub(crate) use placement_run::{PlacementArgs, run_placement};
