//! The HTTP interface for callers: the OpenAI-style API and the plain services.

mod generate;
mod plain;
mod routes;

pub(crate) use routes::{FrontState, serve_callers};
