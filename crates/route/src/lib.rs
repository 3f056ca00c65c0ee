//! Choice of target, limits, fairness, retries, quarantine.
