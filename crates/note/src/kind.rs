//! The kinds of catalogue items.

use std::fmt;

/// The kind of a catalogue item.
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
    /// All kinds, ordered by name.
    pub const ALL: [Kind; 5] = [
        Kind::Account,
        Kind::Group,
        Kind::Model,
        Kind::Service,
        Kind::Target,
    ];

    /// Returns the name of the kind as written in notes.
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

    /// Returns the kind with this name.
    ///
    /// ```
    /// assert_eq!(note::Kind::from_name("group"), Some(note::Kind::Group));
    /// assert_eq!(note::Kind::from_name("zone"), None);
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Reads the `kind` of an item in a note. An unknown kind is the only finding
    /// reported for its item, since the other keys can't be interpreted.
    pub(crate) fn read(r: &mut cfg::Reader) -> Option<Kind> {
        let name: Option<String> = r.required("kind");
        let kind = name.as_deref().and_then(Kind::from_name);
        if kind.is_some() {
            return kind;
        }
        if let Some(name) = name {
            let known = Kind::ALL.map(Kind::as_str);
            let message = match cfg::nearest(&name, known) {
                Some(near) => format!("unknown kind {name:?}, did you mean {near:?}?"),
                None => format!("unknown kind {name:?}, known are {}", known.join(", ")),
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
