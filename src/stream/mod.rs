//! Reliable, ordered delivery over datagrams that may be lost, doubled or
//! delayed: the sending and receiving halves that the fabric and the agents
//! share.

mod reorder;
mod window;

pub use reorder::ReorderBuffer;
pub use window::SendWindow;
