//! What the users' callers ask for.

use std::ops::RangeInclusive;
use std::str::FromStr;

use eyre::bail;

/// What one user's callers ask for.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Name of the mix.
    pub name: &'static str,
    /// Model of the streamed requests.
    pub model: String,
    /// Plain service of the other calls.
    pub service: String,
    /// Of a thousand requests, how many are streamed model requests.
    pub chats: u32,
    /// Of a thousand requests, how many are reads; the rest isn't repeatable.
    pub reads: u32,
    /// Tokens of an answer.
    pub tokens: RangeInclusive<u32>,
    /// Words of a prompt.
    pub words: RangeInclusive<u32>,
    /// Of a thousand non-repeatable calls, how many are sent again after
    /// their answer, as if it had been lost.
    pub resent: u32,
    /// Of a thousand non-repeatable calls, how many are sent twice at once.
    pub raced: u32,
    /// Path of the reads, before a number.
    pub read_path: &'static str,
    /// Path of the non-repeatable calls.
    pub write_path: &'static str,
}

impl Mix {
    /// The association: advice with long answers, stock look-ups,
    /// reservations.
    ///
    /// ```
    /// assert_eq!(lovageramp::bench::Mix::association().model, "burl-notes");
    /// ```
    #[must_use]
    pub fn association() -> Self {
        Mix {
            name: "association",
            model: "burl-notes".to_owned(),
            service: "order-desk".to_owned(),
            chats: 500,
            reads: 350,
            tokens: 24..=96,
            words: 40..=400,
            resent: 150,
            raced: 50,
            read_path: "/lots/",
            write_path: "/reservations",
        }
    }

    /// The hotline: short summaries that are needed at once, address look-ups,
    /// crew dispatches.
    ///
    /// ```
    /// assert_eq!(lovageramp::bench::Mix::hotline().service, "dezurna-aplikacija");
    /// ```
    #[must_use]
    pub fn hotline() -> Self {
        Mix {
            name: "hotline",
            model: "povzetki-klicev".to_owned(),
            service: "dezurna-aplikacija".to_owned(),
            chats: 600,
            reads: 250,
            tokens: 16..=48,
            words: 80..=250,
            resent: 250,
            raced: 100,
            read_path: "/addresses/",
            write_path: "/dispatches",
        }
    }
}

impl FromStr for Mix {
    type Err = eyre::Report;

    fn from_str(name: &str) -> eyre::Result<Self> {
        match name {
            "association" => Ok(Mix::association()),
            "hotline" => Ok(Mix::hotline()),
            _ => bail!("unknown mix {name:?}, known are association and hotline"),
        }
    }
}
