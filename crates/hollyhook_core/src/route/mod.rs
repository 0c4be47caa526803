//! Choosing an endpoint from what this host knows.

mod copy_placement;
mod endpoint_choice;
mod endpoint_membership;
mod endpoint_record;
mod endpoint_subset;
mod endpoint_table;
mod engine_report;
mod failure_record;
mod name_set;
mod place_index;
mod prompt_holder;
mod rendezvous;
mod ring_index;
mod route_query;
mod zone_trouble;

pub use copy_placement::choose_backup_engine;
pub use endpoint_membership::EndpointMembership;
pub use endpoint_record::{EndpointRecord, EndpointState, LoadReport};
pub use endpoint_subset::EndpointSubset;
pub use endpoint_table::EndpointTable;
pub use engine_report::{
    EngineCandidate, EngineReport, EngineRun, MAX_REPORT_AGE, choose_engine, excess_wait, is_certain_choice,
    time_to_first_event,
};
pub use prompt_holder::{HeldPromptPart, PromptPlacement, has_holder, place_held_prompt};
pub(crate) use rendezvous::rendezvous_weight;
pub use route_query::{HolderLimits, RouteQuery};
