//! Release notes and the catalogue they make.
