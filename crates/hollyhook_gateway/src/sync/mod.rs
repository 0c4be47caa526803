//! Synchronization between tasks.

mod count_limit;
mod lock;
mod owned_future;
mod wake_list;

pub(crate) use count_limit::{CountGuard, CountLimit};
pub(crate) use lock::lock;
pub(crate) use owned_future::OwnedFuture;
pub(crate) use wake_list::WakeList;
