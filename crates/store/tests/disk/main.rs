//! What lasts on a disk, and what is said when it doesn't.

mod crash;
mod damage;
mod faulty;
mod model;
mod refusal;
