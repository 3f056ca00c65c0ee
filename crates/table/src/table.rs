//! A validated route table.

use crate::{Access, CallerLimits, ClientAccount, Draft, RequestKind, Route, Service, check};
use cfg::Findings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A validated route table with its lookup indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    draft: Draft,
    /// Positions in `draft.routes` by host, then prefix.
    routes: BTreeMap<String, BTreeMap<String, usize>>,
    /// Positions in `draft.services` by name.
    services: BTreeMap<String, usize>,
    /// Positions in `draft.accounts` by key.
    keys: BTreeMap<String, usize>,
    /// Names of the services whose requests have different priorities.
    prioritized: BTreeSet<String>,
}

impl Table {
    /// Validates a draft and indexes it.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its place in the draft.
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
            prioritized: prioritized_services(&draft),
            draft,
        })
    }

    /// Version number; of two tables the one with the higher number is in force.
    ///
    /// ```
    /// assert_eq!(table::Table::default().number(), 0);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.draft.number
    }

    /// Returns the route of the host with the longest prefix of the path. Hosts
    /// are compared without regard to ASCII case.
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

    /// All routes, in document order.
    ///
    /// ```
    /// assert!(table::Table::default().routes().is_empty());
    /// ```
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.draft.routes
    }

    /// Returns the service of that name.
    ///
    /// ```
    /// assert!(table::Table::default().service("order-desk").is_none());
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.draft.services.get(*self.services.get(name)?)
    }

    /// Returns the shortest allowed pause between stream events over all routes
    /// to the service.
    ///
    /// ```
    /// assert!(table::Table::default().shortest_pause("order-desk").is_none());
    /// ```
    #[must_use]
    pub fn shortest_pause(&self, service: &str) -> Option<Duration> {
        let uses_service =
            |route: &&Route| route.split.iter().any(|share| share.service == service);
        let routes = self.draft.routes.iter().filter(uses_service);
        let pauses = routes.filter_map(|route| match route.kind {
            RequestKind::Stream { pause, .. } => pause,
            RequestKind::Repeatable | RequestKind::Once => None,
        });
        pauses.min()
    }

    /// Whether requests to the service have different priorities, by their route or by the
    /// client account of their caller.
    ///
    /// ```
    /// assert!(!table::Table::default().has_priorities("order-desk"));
    /// ```
    #[must_use]
    pub fn has_priorities(&self, service: &str) -> bool {
        self.prioritized.contains(service)
    }

    /// All services, in document order.
    ///
    /// ```
    /// assert!(table::Table::default().services().is_empty());
    /// ```
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.draft.services
    }

    /// Whether the table has client accounts. If so, callers need a key on routes
    /// with [`Access::Accounts`](crate::Access::Accounts).
    ///
    /// ```
    /// assert!(!table::Table::default().has_accounts());
    /// ```
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.draft.accounts.is_empty()
    }

    /// Returns the client account that a key belongs to.
    ///
    /// ```
    /// assert!(table::Table::default().account("n2ct").is_none());
    /// ```
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&ClientAccount> {
        self.draft.accounts.get(*self.keys.get(key)?)
    }

    /// Limits on the requests of callers.
    ///
    /// ```
    /// assert_eq!(table::Table::default().limits().body_bytes, 4 << 20);
    /// ```
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.draft.limits
    }
}

/// The services that requests of different priorities can reach.
fn prioritized_services(draft: &Draft) -> BTreeSet<String> {
    let mut priorities: BTreeMap<&str, BTreeSet<(u32, u32)>> = BTreeMap::new();
    for route in &draft.routes {
        let of_route = route_priorities(route, &draft.accounts);
        for share in route.split.iter().filter(|share| share.weight > 0) {
            let of_service = priorities.entry(share.service.as_str()).or_default();
            of_service.extend(&of_route);
        }
    }
    let differ = priorities.into_iter().filter(|(_, known)| known.len() > 1);
    differ.map(|(service, _)| service.to_owned()).collect()
}

/// The priorities that requests of the route can have: the one that its caller's account
/// gives it, and the route's own.
fn route_priorities(route: &Route, accounts: &[ClientAccount]) -> BTreeSet<(u32, u32)> {
    let open = route.access == Access::Anyone || accounts.is_empty();
    let without_account = open.then_some(None);
    let of_accounts = accounts.iter().map(|account| account.priority);
    let all = without_account.into_iter().chain(of_accounts);
    all.map(|of_account| (of_account.unwrap_or(route.priority), route.priority))
        .collect()
}
