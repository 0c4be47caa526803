//! The real processes on one machine: a platform, engines, a plain service and daemons in two zones.

mod bad_input;
mod demo;
mod docs;
mod fleet;
mod generations;
mod log_trace;
mod placement;
mod plain_calls;
mod settings;
mod status;
mod stock_client;
mod stopping;
