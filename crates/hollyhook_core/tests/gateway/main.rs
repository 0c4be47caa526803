//! Tests of the decision logic behind the gateway, without a network.

mod answers;
mod attempts;
mod backups;
mod brittle;
mod choosing;
mod contact;
mod feeding;
mod large_fleet;
mod liveness;
mod membership;
mod origins;
mod paths;
mod quarantine;
mod quarantine_parts;
mod quarantine_simulation;
mod queue_simulation;
mod queues;
mod retries;
mod rollouts;
mod site;
mod stopping;
mod streams;
mod terms;
mod trials;
