//! Tracks the endpoints that this host knows and chooses among them.

mod backup_placement;
mod endpoint_admission;
mod endpoint_choice;
mod endpoint_groups;
mod endpoint_leases;
mod endpoint_membership;
mod endpoint_pacing;
mod endpoint_quotas;
mod endpoint_record;
mod endpoint_silence;
mod endpoint_subset;
mod endpoint_table;
mod engine_candidate;
mod engine_cost;
mod engine_forecast;
mod engine_report;
mod engine_wait;
mod failure_record;
mod host_position;
mod listed_versions;
mod memory_forecast;
mod name_interner;
mod priority_placement;
mod prompt_placement;
mod registration_index;
mod rendezvous;
mod report_cache;
mod ring_index;
mod room_report;
mod route_query;
mod silence_record;
mod version_index;
mod zone_failures;

pub use backup_placement::choose_backup_engine;
pub use endpoint_membership::EndpointMembership;
pub use endpoint_pacing::PromptRead;
pub use endpoint_record::{EndpointRecord, EndpointState, LoadReport};
pub use endpoint_subset::EndpointSubset;
pub use endpoint_table::EndpointTable;
pub use engine_candidate::EngineCandidate;
pub use engine_cost::{choose_engine, is_certain_choice};
pub use engine_report::{EngineReport, EngineRun, MAX_REPORT_AGE};
pub use engine_wait::{excess_wait, time_to_first_event};
pub use host_position::HostPosition;
pub(crate) use host_position::slot_weight;
pub use listed_versions::ListedVersions;
pub use memory_forecast::MemoryForecast;
pub use priority_placement::{
    CapacityShortage, PlacementRequest, PlacementVerdict, excess_wait_by_priority, place_by_priority,
};
pub use prompt_placement::{HeldPromptPart, PromptPlacement, has_holder, place_held_prompt};
pub(crate) use rendezvous::rendezvous_weight;
pub use report_cache::ReportCache;
pub use route_query::{HolderLimits, RouteQuery};
