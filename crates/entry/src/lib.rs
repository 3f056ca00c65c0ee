//! Callers HTTP, admission, choice of target, retries and streams.
