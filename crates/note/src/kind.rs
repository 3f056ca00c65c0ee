//! The kinds of things a note can offer.

use std::fmt;

/// The kind of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A client account.
    Account,
    /// A model group.
    Group,
    /// A model.
    Model,
    /// A plain service.
    Service,
    /// A target.
    Target,
}

impl Kind {
    /// All kinds, in the order of their names.
    pub const ALL: [Kind; 5] = [
        Kind::Account,
        Kind::Group,
        Kind::Model,
        Kind::Service,
        Kind::Target,
    ];

    /// The word for the kind in a note.
    ///
    /// ```
    /// assert_eq!(note::Kind::Group.as_str(), "group");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Account => "account",
            Kind::Group => "group",
            Kind::Model => "model",
            Kind::Service => "service",
            Kind::Target => "target",
        }
    }

    /// The kind that a word stands for.
    ///
    /// ```
    /// assert_eq!(note::Kind::from_name("group"), Some(note::Kind::Group));
    /// assert_eq!(note::Kind::from_name("zone"), None);
    /// ```
    #[must_use]
    pub fn from_name(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == word)
    }

    /// Reads the `kind` of an object of the note. An unknown one is a finding,
    /// and the only one of its object.
    pub(crate) fn read(r: &mut cfg::Reader) -> Option<Kind> {
        let word: Option<String> = r.required("kind");
        let kind = word.as_deref().and_then(Kind::from_name);
        if kind.is_some() {
            return kind;
        }
        if let Some(word) = word {
            let known = Kind::ALL.map(Kind::as_str);
            let message = match cfg::nearest(&word, known) {
                Some(near) => format!("unknown kind {word:?}, did you mean {near:?}?"),
                None => format!("unknown kind {word:?}, known are {}", known.join(", ")),
            };
            r.finding("kind", message);
        }
        r.accept_rest();
        None
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
