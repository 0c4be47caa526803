//! Kept connections to endpoints and to the platform's store.

mod connection_pool;
mod pooled_connection;

pub(crate) use connection_pool::{ConnectionPool, keep_time};
pub(crate) use pooled_connection::{PooledConnection, SendFault};
