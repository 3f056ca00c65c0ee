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
    pub chat_per_mille: u32,
    /// Of a thousand requests, how many are reads; the rest isn't repeatable.
    pub read_per_mille: u32,
    /// Tokens of an answer.
    pub answer_tokens: RangeInclusive<u32>,
    /// Words of a prompt.
    pub prompt_words: RangeInclusive<u32>,
    /// Of a thousand non-repeatable calls, how many are sent again after
    /// their answer, as if it had been lost.
    pub resend_per_mille: u32,
    /// Of a thousand non-repeatable calls, how many are sent twice at once.
    pub race_per_mille: u32,
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
            chat_per_mille: 500,
            read_per_mille: 350,
            answer_tokens: 24..=96,
            prompt_words: 40..=400,
            resend_per_mille: 150,
            race_per_mille: 50,
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
            chat_per_mille: 600,
            read_per_mille: 250,
            answer_tokens: 16..=48,
            prompt_words: 80..=250,
            resend_per_mille: 250,
            race_per_mille: 100,
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
