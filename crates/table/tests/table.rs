//! Route lookup and validation of route tables.

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

fn finding_places(draft: Draft) -> Vec<String> {
    let findings = Table::new(draft).unwrap_err().into_vec();
    findings.into_iter().map(|finding| finding.place).collect()
}

#[test]
fn route_matches_longest_prefix() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("lots", "a.example", "/lots/"),
        route("burl", "a.example", "/lots/burl/"),
        route("other", "b.example", "/lots/"),
    ];
    let table = Table::new(draft(routes)).unwrap();
    let route_name = |host: &str, path: &str| table.route(host, path).map(|r| r.name.as_str());
    assert_eq!(route_name("a.example", "/lots/burl/7"), Some("burl"));
    assert_eq!(route_name("a.example", "/lots/oak"), Some("lots"));
    assert_eq!(route_name("a.example", "/lots"), Some("all"));
    assert_eq!(route_name("A.Example", "/"), Some("all"));
    assert_eq!(route_name("b.example", "/lots/x"), Some("other"));
    assert_eq!(route_name("b.example", "/"), None);
    assert_eq!(route_name("c.example", "/lots/"), None);
}

#[test]
fn shortest_pause_over_all_routes() {
    let stream = |prefix: &str, service: &str, pause: Option<u64>| Route {
        kind: RequestKind::Stream {
            resume: Resume::Anywhere,
            pause: pause.map(Duration::from_millis),
            max_silence: None,
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
fn service_is_split_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.split = vec![share("desk", 3), share("none", 0), share("new", 1)];
    let drawn: Vec<&str> = (0..4).map(|draw| split.service(draw)).collect();
    assert_eq!(drawn, ["desk", "desk", "desk", "new"]);
}

#[test]
fn account_is_found_by_any_of_its_keys() {
    let mut draft = draft(Vec::new());
    draft.accounts = vec![account("huber", &["k1", "k2"]), account("maier", &["k3"])];
    let table = Table::new(draft).unwrap();
    assert_eq!(table.account("k2").map(|a| a.name.as_str()), Some("huber"));
    assert_eq!(table.account("k3").map(|a| a.name.as_str()), Some("maier"));
    assert!(table.account("k4").is_none());
}

/// Guards against reporting only the first of several errors in a table, which
/// would cost an operator one round per correction.
#[test]
fn new_reports_all_findings_with_places() {
    let mut unknown = route("a", "a.example", "/a/");
    unknown.split = vec![share("desk", 1), share("gone", 1)];
    let mut zero_weight = route("b", "a.example", "/b/");
    zero_weight.split = vec![share("desk", 0)];
    let mut zero_timeout = route("c", "a.example", "/c/");
    zero_timeout.timeout = Duration::ZERO;
    let duplicate = route("d", "a.example", "/a/");
    let mut draft = draft(vec![unknown, zero_weight, zero_timeout, duplicate]);
    draft.accounts = vec![account("huber", &["k1"]), account("maier", &["k2", "k1"])];
    let expected = [
        "routes[0].split[1].service",
        "routes[1].split",
        "routes[2].timeout",
        "routes[3]",
        "accounts[1].keys[1]",
    ];
    assert_eq!(finding_places(draft), expected);
}

/// The second of the two routes was looked up for both spellings, and the first was never
/// served.
#[test]
fn new_same_host_in_other_case() {
    let routes = vec![
        route("first", "Desk.example", "/stock/"),
        route("second", "desk.example", "/stock/"),
    ];
    assert_eq!(finding_places(draft(routes)), ["routes[1]"]);
}

/// A key shared by two accounts would let the callers of one use the limits of
/// the other. The finding gives the places but not the key, which is a secret
/// and would otherwise appear in the operator's terminal.
#[test]
fn new_does_not_reveal_shared_key() {
    let mut draft = draft(Vec::new());
    draft.accounts = vec![
        account("huber", &["topsecret"]),
        account("maier", &["topsecret"]),
    ];
    let findings = Table::new(draft).unwrap_err();
    assert!(!findings.to_string().contains("topsecret"));
}

/// Requests of one priority were queued by priority, or those of different ones were not.
#[test]
fn has_priorities_by_routes_and_accounts() {
    let with_priority = |prefix: &str, service: &str, priority| Route {
        split: vec![share(service, 1), share("unused", 0)],
        priority,
        ..route(prefix, "a.example", prefix)
    };
    let routes = vec![
        with_priority("/urgent/", "desk", 0),
        with_priority("/later/", "desk", 2),
        with_priority("/one/", "press", 1),
        with_priority("/two/", "press", 1),
    ];
    let services = ["desk", "press", "unused"].map(|name| Service::new(name, 96));
    let table = |accounts: Vec<ClientAccount>| {
        let (routes, services) = (routes.clone(), services.to_vec());
        Table::new(Draft {
            accounts,
            services,
            ..draft(routes)
        })
        .unwrap()
    };
    let with_account = |name: &str, priority| ClientAccount {
        priority,
        ..account(name, &[name])
    };
    for (accounts, of_press) in [
        (vec![], false),
        (vec![with_account("huber", Some(1))], false),
        (vec![with_account("huber", Some(2))], false),
        (
            vec![with_account("huber", Some(1)), account("maier", &["k"])],
            false,
        ),
        (
            vec![with_account("huber", Some(0)), account("maier", &["k"])],
            true,
        ),
    ] {
        let table = table(accounts);
        assert!(table.has_priorities("desk"));
        assert_eq!(table.has_priorities("press"), of_press);
        assert!(!table.has_priorities("unused"));
        assert!(!table.has_priorities("absent"));
    }
}
