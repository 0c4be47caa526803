//! Tests of the decision logic behind the gateway, without a network.

mod answers;
mod attempts;
mod choosing;
mod contact;
mod copies;
mod feeding;
mod large_fleet;
mod membership;
mod quarantine;
mod quarantine_play;
mod retries;
mod rollouts;
mod silence;
mod site;
mod stopping;
mod streams;
mod terms;
mod trials;
