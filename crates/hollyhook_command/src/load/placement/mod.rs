//! How placement policies do, in virtual time on a model of the engines, with the decisions that the gateway makes.

mod engine_model;
mod fleet_model;
mod host_model;
mod placement_plot;
mod placement_run;
mod report_log;

pub(crate) use placement_run::{PlacementArgs, run_placement};
