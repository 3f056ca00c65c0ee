//! Small stand-ins for engines, services and the weight store.
