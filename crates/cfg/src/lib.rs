//! JSON settings, checked, with every finding reported at once.
