//! Tests of durability after crashes, damage and errors.

mod crash;
mod damage;
mod errors;
mod fault_injector;
mod model;
