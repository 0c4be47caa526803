//! Network paths from this host to endpoints, and the other hosts through which it can reach them.

mod endpoint_group;
mod path_monitor;
mod tunnel_directory;
mod tunnel_frame;

pub use endpoint_group::EndpointGroup;
pub use path_monitor::{ConnectOrder, PathMonitor};
pub use tunnel_directory::TunnelDirectory;
pub use tunnel_frame::{FrameBuffer, FrameError, FrameReader, FrameStep};
