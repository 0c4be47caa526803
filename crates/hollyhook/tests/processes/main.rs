//! Tests with the real processes on one machine: stand-ins for the platform, the engines and a plain service, and
//! daemons in two availability zones.

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
