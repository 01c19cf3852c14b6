//! Reliable, ordered delivery over a network that may lose, duplicate or reorder
//! datagrams: the send window and reorder buffer used by the fabric and the agents.

mod reorder;
mod window;

pub use reorder::ReorderBuffer;
pub use window::SendWindow;
