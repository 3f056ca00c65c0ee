//! Entries before real control and agents, fake targets and a stub agent.

mod accounts;
mod bad_input;
mod calls;
mod path;
mod standing;
mod streams;
mod subsets;
mod support;
