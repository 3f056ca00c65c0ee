//! Map commands to the engine, sent one at a time under a fencing number.

mod command_queue;
mod fence;
mod read_back;

pub use command_queue::CommandQueue;
pub(crate) use command_queue::start;
pub use fence::Fence;
pub use read_back::{ReadBack, read_back};
