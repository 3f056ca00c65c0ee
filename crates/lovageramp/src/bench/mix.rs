//! Request mixes.

use std::ops::RangeInclusive;
use std::str::FromStr;

use eyre::bail;

/// Composition of the requests sent by the callers of one user.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Name of the mix.
    pub name: &'static str,
    /// Model of the streamed requests.
    pub model: String,
    /// Plain service of the other calls.
    pub service: String,
    /// Share of streamed model requests, per mille.
    pub chat_per_mille: u32,
    /// Share of reads, per mille; the rest are non-repeatable calls.
    pub read_per_mille: u32,
    /// Number of tokens in a response.
    pub answer_tokens: RangeInclusive<u32>,
    /// Number of words in a prompt.
    pub prompt_words: RangeInclusive<u32>,
    /// Share of the non-repeatable calls that are sent again after their
    /// response, as if it had been lost, per mille.
    pub resend_per_mille: u32,
    /// Share of the non-repeatable calls that are sent twice concurrently, per
    /// mille.
    pub race_per_mille: u32,
    /// Path prefix of the reads; a number is appended.
    pub read_path: &'static str,
    /// Path of the non-repeatable calls.
    pub write_path: &'static str,
}

impl Mix {
    /// The mix "association": model requests with long responses, stock look-ups
    /// and reservations.
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

    /// The mix "hotline": latency-sensitive short summaries, address look-ups and
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
            _ => bail!("unknown mix {name:?}, expected association or hotline"),
        }
    }
}
