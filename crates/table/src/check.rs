//! Validation of a draft.

use crate::{Draft, Route};
use cfg::{Finding, Findings};
use std::collections::BTreeMap;

/// Validates a draft and returns all findings, in the order of the document.
pub(crate) fn findings(draft: &Draft) -> Findings {
    let mut findings = Vec::new();
    check_services(draft, &mut findings);
    check_routes(draft, &mut findings);
    check_keys(draft, &mut findings);
    findings.into()
}

fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeMap::new();
    for (position, service) in draft.services.iter().enumerate() {
        if let Some(first) = seen.insert(service.name.as_str(), position) {
            let message = format!("service {:?} stands at {first} already", service.name);
            findings.push(Finding::new(format!("services[{position}].name"), message));
        }
    }
}

fn check_routes(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeMap::new();
    for (position, route) in draft.routes.iter().enumerate() {
        let at = format!("routes[{position}]");
        check_route(draft, route, &at, findings);
        // Hosts are looked up without regard to case.
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        if let Some(first) = seen.insert(host_and_prefix, position) {
            let message = format!("routes[{first}] has this host and prefix already");
            findings.push(Finding::new(at, message));
        }
    }
}

fn check_route(draft: &Draft, route: &Route, at: &str, findings: &mut Vec<Finding>) {
    let mut report = |field: &str, message: String| {
        findings.push(Finding::new(format!("{at}.{field}"), message));
    };
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        report("prefix", "must begin and end with a slash".to_owned());
    }
    if route.timeout.is_zero() {
        report("timeout", "must be above 0".to_owned());
    }
    if route.split.iter().all(|share| share.weight == 0) {
        report("split", "weights add up to 0".to_owned());
    }
    for (position, share) in route.split.iter().enumerate() {
        let name = &share.service;
        if !draft.services.iter().any(|service| service.name == *name) {
            let message = format!("unknown service {name:?}");
            report(&format!("split[{position}].service"), message);
        }
    }
}

fn check_keys(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut owners = BTreeMap::new();
    for (position, account) in draft.accounts.iter().enumerate() {
        for (index, key) in account.keys.iter().enumerate() {
            let first = *owners.entry(key.as_str()).or_insert(position);
            if first != position {
                // The key is a secret, so the message must not contain it.
                let message = format!("accounts[{first}] has this key already");
                let at = format!("accounts[{position}].keys[{index}]");
                findings.push(Finding::new(at, message));
            }
        }
    }
}
