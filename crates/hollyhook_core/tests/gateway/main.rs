//! The decisions of the gateway, without a network: which load each answers, and what it decides.

mod answers;
mod choosing;
mod membership;
mod retries;
mod silence;
mod site;
mod stopping;
mod streams;
