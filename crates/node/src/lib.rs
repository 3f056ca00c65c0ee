//! What every entry and agent runs to follow control.
