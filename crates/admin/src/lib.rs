//! Health, readiness, metrics and operators HTTP for every daemon.
