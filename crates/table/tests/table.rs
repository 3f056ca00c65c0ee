//! Which route a request takes, and what is wrong with a table.

use std::time::Duration;
use table::{
    Access, ClientAccount, Draft, RequestKind, Resume, Route, Service, Table, WeightedService,
};

fn share(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.to_owned(),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        split: vec![share("desk", 1)],
        kind: RequestKind::Repeatable,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(150),
        priority: 1,
        attempts: 2,
        access: Access::Accounts,
    }
}

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
    }
}

fn draft(routes: Vec<Route>) -> Draft {
    Draft {
        number: 1,
        routes,
        services: vec![Service::new("desk", 96)],
        ..Draft::default()
    }
}

fn places(draft: Draft) -> Vec<String> {
    let findings = Table::new(draft).unwrap_err().into_vec();
    findings.into_iter().map(|finding| finding.place).collect()
}

#[test]
fn route_longest_prefix() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("lots", "a.example", "/lots/"),
        route("burl", "a.example", "/lots/burl/"),
        route("other", "b.example", "/lots/"),
    ];
    let table = Table::new(draft(routes)).unwrap();
    let named = |host: &str, path: &str| table.route(host, path).map(|r| r.name.as_str());
    assert_eq!(named("a.example", "/lots/burl/7"), Some("burl"));
    assert_eq!(named("a.example", "/lots/oak"), Some("lots"));
    assert_eq!(named("a.example", "/lots"), Some("all"));
    assert_eq!(named("A.Example", "/"), Some("all"));
    assert_eq!(named("b.example", "/lots/x"), Some("other"));
    assert_eq!(named("b.example", "/"), None);
    assert_eq!(named("c.example", "/lots/"), None);
}

#[test]
fn shortest_pause_of_any_route() {
    let stream = |prefix: &str, service: &str, pause: Option<u64>| Route {
        kind: RequestKind::Stream {
            resume: Resume::Anywhere,
            pause: pause.map(Duration::from_millis),
        },
        split: vec![share("other", 9), share(service, 1)],
        ..route(prefix, "a.example", prefix)
    };
    let routes = vec![
        stream("/slow/", "desk", Some(200)),
        stream("/fast/", "desk", Some(120)),
        stream("/any/", "desk", None),
        stream("/faster/", "press", Some(80)),
        route("plain", "a.example", "/plain/"),
    ];
    let services = ["desk", "press", "other"].map(|name| Service::new(name, 96));
    let draft = Draft {
        services: services.to_vec(),
        ..draft(routes)
    };
    let table = Table::new(draft).unwrap();
    let pause = |service| table.shortest_pause(service);
    assert_eq!(pause("desk"), Some(Duration::from_millis(120)));
    assert_eq!(pause("press"), Some(Duration::from_millis(80)));
    assert_eq!(pause("absent"), None);
}

#[test]
fn service_split_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.split = vec![share("desk", 3), share("none", 0), share("new", 1)];
    let drawn: Vec<&str> = (0..4).map(|draw| split.service(draw)).collect();
    assert_eq!(drawn, ["desk", "desk", "desk", "new"]);
}

#[test]
fn account_by_any_of_its_keys() {
    let mut draft = draft(Vec::new());
    draft.accounts = vec![account("huber", &["k1", "k2"]), account("maier", &["k3"])];
    let table = Table::new(draft).unwrap();
    assert_eq!(table.account("k2").map(|a| a.name.as_str()), Some("huber"));
    assert_eq!(table.account("k3").map(|a| a.name.as_str()), Some("maier"));
    assert!(table.account("k4").is_none());
}

/// An operator mistypes several things in one table. Were only the first one
/// told, each correction would need another round.
#[test]
fn new_all_findings_with_places() {
    let mut unknown = route("a", "a.example", "/a/");
    unknown.split = vec![share("desk", 1), share("gone", 1)];
    let mut weightless = route("b", "a.example", "/b/");
    weightless.split = vec![share("desk", 0)];
    let mut hasty = route("c", "a.example", "/c/");
    hasty.timeout = Duration::ZERO;
    let twice = route("d", "a.example", "/a/");
    let mut draft = draft(vec![unknown, weightless, hasty, twice]);
    draft.accounts = vec![account("huber", &["k1"]), account("maier", &["k2", "k1"])];
    let expected = [
        "routes[0].split[1].service",
        "routes[1].split",
        "routes[2].timeout",
        "routes[3]",
        "accounts[1].keys[1]",
    ];
    assert_eq!(places(draft), expected);
}

/// A key that two accounts share would let one account's callers spend the
/// other's allowance. The finding names the places and not the key, which is
/// a secret and would stand in the operator's terminal.
#[test]
fn new_shared_key_not_told() {
    let mut draft = draft(Vec::new());
    draft.accounts = vec![
        account("huber", &["topsecret"]),
        account("maier", &["topsecret"]),
    ];
    let findings = Table::new(draft).unwrap_err();
    assert!(!findings.to_string().contains("topsecret"));
}
