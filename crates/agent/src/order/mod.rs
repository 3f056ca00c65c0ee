//! Orders to the engine, one at a time and under a fencing number.

mod fence;
mod orders;
mod read_back;

pub use fence::Fence;
pub use orders::Orders;
pub(crate) use orders::start;
pub use read_back::{Reading, read_back};
