//! Synchronization between tasks.

mod lock;
mod wake_list;

pub(crate) use lock::lock;
pub(crate) use wake_list::WakeList;
