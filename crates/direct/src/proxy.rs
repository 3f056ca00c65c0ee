//! Forwards requests to targets.

use crate::balancer::{Balancer, Known};
use crate::balancer_queue;
use crate::crash_reports::CrashReports;
use crate::dialect::{Dialect, MAX_URGENCY};
use crate::dispatch::{Dispatch, RequestClass};
use crate::metrics::Metrics;
use crate::proxy_request::ProxyRequest;
use crate::refusal::{Reason, Refusal};
use crate::target_response::TargetResponse;
use crate::timing::Timing;
use node::Watcher;
use prometheus_client::registry::Registry;
use route::RetryLimits;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use table::{Access, ClientAccount, Route, Table};
use tokio::time::timeout;

/// How often expired idle connections are closed and the availability of targets
/// is checked for missed heartbeats.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of a proxy.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Name of this entry.
    pub name: String,
    /// Availability zone of this entry.
    pub zone: String,
    /// Timeouts.
    pub timing: Timing,
    /// Headers that targets use in addition to standard HTTP.
    pub dialect: Dialect,
    /// Retries that a service tolerates.
    pub retry_tolerance: RetryTolerance,
}

/// Retries that a service tolerates beyond a fifth of its requests, from all entries
/// together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTolerance {
    /// Number of retries in any window.
    pub retries: u32,
    /// Length of the window.
    pub window: Duration,
}

impl RetryTolerance {
    /// The limits of one of this many entries.
    pub(crate) fn of_entry(&self, entries: Option<u32>) -> RetryLimits {
        entries.map_or(RetryLimits::AT_START, |entries| {
            RetryLimits::of_entry(self.retries, self.window, entries)
        })
    }
}

impl Default for RetryTolerance {
    fn default() -> Self {
        RetryTolerance {
            retries: 88,
            window: Duration::from_secs(10),
        }
    }
}

/// Forwards requests to targets. Clones share their state.
#[derive(Clone)]
pub struct Proxy {
    watcher: Watcher,
    balancer: Arc<Balancer>,
    crash_reports: CrashReports,
    timing: Arc<Timing>,
    dialect: Dialect,
    metrics: Metrics,
    started: Instant,
}

impl Proxy {
    /// Starts a proxy that follows the route table and targets of the watcher.
    #[must_use]
    pub fn spawn(watcher: Watcher, cfg: ProxySettings, registry: &mut Registry) -> Proxy {
        let metrics = Metrics::default();
        metrics.register(registry);
        let balancer = Arc::new(Balancer::new(&cfg));
        balancer.outage_metrics.register(registry);
        let proxy = Proxy {
            balancer,
            crash_reports: CrashReports::spawn(watcher.clone(), metrics.clone()),
            timing: Arc::new(cfg.timing),
            dialect: cfg.dialect,
            metrics,
            watcher,
            started: Instant::now(),
        };
        tokio::spawn(balancer_queue::run(Arc::downgrade(&proxy.balancer)));
        tokio::spawn(follow_watcher(
            proxy.watcher.clone(),
            Arc::clone(&proxy.balancer),
            proxy.metrics.clone(),
        ));
        proxy
    }

    /// Forwards a request and returns the target's response.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says whether the request ran.
    pub async fn forward(&self, req: ProxyRequest) -> Result<TargetResponse, Refusal> {
        self.forward_until(req, std::future::pending()).await
    }

    /// Like [`Proxy::forward`], until this entry ends: a request whose response has not
    /// begun when `ending` resolves is abandoned.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says whether the request ran.
    pub async fn forward_until(
        &self,
        req: ProxyRequest,
        ending: impl Future<Output = ()>,
    ) -> Result<TargetResponse, Refusal> {
        self.metrics.open_requests.inc();
        let _open = OpenRequest(&self.metrics);
        let arrived = req.arrived;
        let id = req.id.clone();
        let may_have_run = Arc::new(AtomicBool::new(false));
        let mut service = String::new();
        let result = tokio::select! {
            biased;
            result = self.dispatch(req, &mut service, Arc::clone(&may_have_run)) => result,
            () = ending => {
                let reason = if may_have_run.load(Ordering::Relaxed) {
                    Reason::Lost
                } else {
                    Reason::ShuttingDown
                };
                log::warn!(request = id.as_str(); "abandoned at the end of the shutdown: {reason}");
                Err(Refusal::new(reason))
            }
        };
        match &result {
            Ok(response) => {
                self.metrics
                    .request_ended(&service, response.status.as_str());
                self.metrics.response_started(&service, arrived.elapsed());
            }
            Err(refusal) => self
                .metrics
                .request_ended(&service, &refusal.reason.to_string()),
        }
        result
    }

    /// Dispatches a request. Sets `chosen` to the name of its service as soon as it
    /// is chosen.
    async fn dispatch(
        &self,
        req: ProxyRequest,
        chosen: &mut String,
        may_have_run: Arc<AtomicBool>,
    ) -> Result<TargetResponse, Refusal> {
        let table = self.route_table(&req).await?;
        let route = table.route(&req.host, req.path_only());
        let route = route.ok_or_else(|| refuse(&req, &table, Reason::NoRoute))?;
        let account = authorize(&table, route, &req)?;
        let timeout = req
            .timeout
            .map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let service = route.service(rand::random());
        service.clone_into(chosen);
        let has_priorities = table.has_priorities(service);
        let urgency = has_priorities.then(|| urgency(route));
        let class = RequestClass {
            account,
            service,
            route,
            urgency,
        };
        let dispatch = Dispatch::new(&class, req.arrived + timeout, self, req, may_have_run);
        dispatch.run().await
    }

    /// The current route table. Shortly after the start, waits for the first one.
    async fn route_table(&self, req: &ProxyRequest) -> Result<Arc<Table>, Refusal> {
        let mut changed = self.watcher.state().changed();
        loop {
            if let Some(table) = self.watcher.table() {
                return Ok(table);
            }
            let now = Instant::now();
            let caller_timeout = req.timeout.unwrap_or(self.timing.inactivity);
            let deadline = req.arrived + caller_timeout;
            let absence = &self.timing.absence;
            let until = absence.wait_until(self.started, deadline, now);
            let Some((until, _slot)) = until.zip(self.balancer.waiting_slot()) else {
                log::info!(request = req.id.as_str(); "refused: {}", Reason::NoTable);
                return Err(Refusal::with_retry_after(
                    Reason::NoTable,
                    self.timing.retry_after_absent,
                ));
            };
            // A change and a time-out both lead to another check.
            let _ = timeout(until - now, changed.changed()).await;
        }
    }

    pub(crate) fn balancer(&self) -> &Arc<Balancer> {
        &self.balancer
    }

    pub(crate) fn crash_reports(&self) -> &CrashReports {
        &self.crash_reports
    }

    pub(crate) fn watcher(&self) -> &Watcher {
        &self.watcher
    }

    pub(crate) fn timing(&self) -> &Arc<Timing> {
        &self.timing
    }

    pub(crate) fn dialect(&self) -> Dialect {
        self.dialect
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}

/// Counts a request as open until dropped.
struct OpenRequest<'a>(&'a Metrics);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.dec();
    }
}

/// The client account of the caller, if the route admits the caller.
fn authorize<'a>(
    table: &'a Table,
    route: &Route,
    req: &ProxyRequest,
) -> Result<Option<&'a ClientAccount>, Refusal> {
    let known = req.api_key.as_deref().and_then(|key| table.account(key));
    if known.is_none() && table.has_accounts() && route.access == Access::Accounts {
        return Err(refuse(req, table, Reason::UnknownKey));
    }
    Ok(known)
}

/// How urgent requests of a route are among those of their service.
fn urgency(route: &Route) -> u8 {
    u8::try_from(route.priority).map_or(MAX_URGENCY, |urgency| urgency.min(MAX_URGENCY))
}

fn refuse(req: &ProxyRequest, table: &Table, reason: Reason) -> Refusal {
    log::info!(
        request = req.id.as_str(), host = req.host.as_str(), table = table.number();
        "refused: {reason}"
    );
    Refusal::new(reason)
}

/// Keeps the balancer and metrics up to date with the watcher.
async fn follow_watcher(watcher: Watcher, balancer: Arc<Balancer>, metrics: Metrics) {
    let mut changed = watcher.state().changed();
    loop {
        let now = Instant::now();
        if let Some(table) = watcher.table() {
            let state = watcher.state();
            let known = Known {
                targets: state.targets(now),
                zone_entries: state.zone_entries(),
                entries: state.entries(now),
            };
            balancer.update(&table, &known, now);
            let digest = state
                .table_digest()
                .map_or_else(String::new, |d| d.to_string());
            metrics.set_route_table(table.number(), digest);
            for (service, available, all) in balancer.target_counts() {
                metrics.set_targets(&service, available, all);
            }
            for (service, stats) in balancer.queue_stats(now) {
                metrics.set_queue(&service, &stats);
            }
        }
        balancer.close_idle_connections(now);
        // A time-out leads to another round, as a change does.
        if let Ok(Err(_)) = timeout(MAINTENANCE_INTERVAL, changed.changed()).await {
            return;
        }
    }
}
