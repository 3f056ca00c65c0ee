//! At-most-once record of non-repeatable calls.
