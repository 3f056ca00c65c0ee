//! A replica of the durable state.
