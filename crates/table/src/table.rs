//! A table that was checked.

use crate::{CallerLimits, ClientAccount, Draft, RequestKind, Route, Service, check};
use cfg::Findings;
use std::collections::BTreeMap;
use std::time::Duration;

/// A route table that was checked, with what is needed to look things up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    draft: Draft,
    /// Positions of routes by host, then prefix.
    routes: BTreeMap<String, BTreeMap<String, usize>>,
    services: BTreeMap<String, usize>,
    keys: BTreeMap<String, usize>,
}

impl Table {
    /// Checks a draft.
    ///
    /// # Errors
    ///
    /// All findings at once, each with its place.
    ///
    /// ```
    /// use table::{Draft, Table};
    ///
    /// assert_eq!(Table::new(Draft::default()).unwrap().number(), 0);
    /// ```
    pub fn new(draft: Draft) -> Result<Table, Findings> {
        let findings = check::findings(&draft);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut routes: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for (position, route) in draft.routes.iter().enumerate() {
            let host = routes.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), position);
        }
        let services = draft.services.iter().enumerate();
        let services = services.map(|(i, service)| (service.name.clone(), i));
        let accounts = draft.accounts.iter().enumerate();
        let keys = accounts.flat_map(|(i, account)| account.keys.iter().map(move |k| (k, i)));
        Ok(Table {
            routes,
            services: services.collect(),
            keys: keys.map(|(key, i)| (key.clone(), i)).collect(),
            draft,
        })
    }

    /// Its number; of two tables the one with the higher number holds.
    ///
    /// ```
    /// assert_eq!(table::Table::default().number(), 0);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.draft.number
    }

    /// The route of the host with the longest prefix that begins the path.
    ///
    /// ```
    /// assert!(table::Table::default().route("desk.example", "/").is_none());
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = match self.routes.get(host) {
            Some(prefixes) => prefixes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        let mut slashes = path.rmatch_indices('/').map(|(at, _)| at);
        let position = slashes.find_map(|at| prefixes.get(&path[..=at]))?;
        self.draft.routes.get(*position)
    }

    /// All routes, in the order in which they were written.
    ///
    /// ```
    /// assert!(table::Table::default().routes().is_empty());
    /// ```
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.draft.routes
    }

    /// The service of that name.
    ///
    /// ```
    /// assert!(table::Table::default().service("order-desk").is_none());
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.draft.services.get(*self.services.get(name)?)
    }

    /// The shortest pause that any route to the service lets its streams make.
    ///
    /// ```
    /// assert!(table::Table::default().shortest_pause("order-desk").is_none());
    /// ```
    #[must_use]
    pub fn shortest_pause(&self, service: &str) -> Option<Duration> {
        let leads = |route: &&Route| route.split.iter().any(|share| share.service == service);
        let routes = self.draft.routes.iter().filter(leads);
        let pauses = routes.filter_map(|route| match route.kind {
            RequestKind::Stream { pause, .. } => pause,
            RequestKind::Repeatable | RequestKind::Once => None,
        });
        pauses.min()
    }

    /// All services, in the order in which they were written.
    ///
    /// ```
    /// assert!(table::Table::default().services().is_empty());
    /// ```
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.draft.services
    }

    /// Whether callers need a key on routes that aren't open to anyone.
    ///
    /// ```
    /// assert!(!table::Table::default().has_accounts());
    /// ```
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.draft.accounts.is_empty()
    }

    /// The client account that holds a key.
    ///
    /// ```
    /// assert!(table::Table::default().account("n2ct").is_none());
    /// ```
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&ClientAccount> {
        self.draft.accounts.get(*self.keys.get(key)?)
    }

    /// What callers may send.
    ///
    /// ```
    /// assert_eq!(table::Table::default().limits().body_bytes, 4 << 20);
    /// ```
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.draft.limits
    }
}
