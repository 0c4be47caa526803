//! What faces callers and the platform's balancer.

mod admission;
mod body_reader;
mod caller_request;
mod front_server;
mod idle_watch;
mod own_answer;
mod request_handler;
mod status_server;

pub(crate) use caller_request::CallerRequest;
pub(crate) use front_server::{ACCEPT_PAUSE, serve_callers};
pub(crate) use own_answer::{AnswerBody, own_answer, whole_body};
pub(crate) use status_server::{metrics_response, readiness_response, serve_status};
