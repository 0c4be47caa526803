//! Demand exchange: hosts report their demand for overloaded services to each other, so that each sends only its share
//! of the requests that the endpoints can serve.

mod collector_choice;
mod demand_board;
mod demand_exchange;
mod demand_ledger;
mod demand_message;
mod demand_share;
mod demand_summary;
mod overload_detector;

pub use collector_choice::{CollectorChoice, collector_order};
pub use demand_board::{DemandBoard, DemandTotal, ZoneDemand};
pub use demand_exchange::{DemandExchange, DemandRound};
pub use demand_ledger::DemandLedger;
pub use demand_message::{DemandMessage, DemandReply};
pub use demand_share::{DemandShare, service_capacity};
pub use demand_summary::{DemandSummary, PaceReading, ServiceDemand};
pub use overload_detector::OverloadDetector;
