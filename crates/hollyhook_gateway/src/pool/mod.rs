//! Pooled HTTP/1.1 connections.

mod connection_pool;
mod pooled_connection;

pub(crate) use connection_pool::{ConnectionPool, keep_alive_time};
pub(crate) use pooled_connection::{PooledConnection, SendError};
