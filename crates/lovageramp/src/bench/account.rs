//! Client accounts used for the load.

use std::str::FromStr;

use eyre::{WrapErr, ensure};

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The bearer key.
    pub key: String,
    /// Share of the load, relative to the other accounts.
    pub weight: u32,
}

impl FromStr for Account {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let (key, weight) = match text.rsplit_once('*') {
            Some((key, weight)) => (key, weight.parse().wrap_err("invalid weight after *")?),
            None => (text, 1),
        };
        ensure!(!key.is_empty() && weight > 0, "expected KEY or KEY*N");
        Ok(Account {
            key: key.to_owned(),
            weight,
        })
    }
}
