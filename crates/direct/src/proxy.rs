//! Takes each request to its targets.

use crate::dialect::Dialect;
use crate::dispatch::Dispatch;
use crate::metrics::Metrics;
use crate::placer::Placer;
use crate::proxy_request::ProxyRequest;
use crate::refusal::{Reason, Refusal};
use crate::target_response::TargetResponse;
use crate::timing::Timing;
use node::Watcher;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::{Access, Route, Table};
use tokio::time::timeout;

/// How often connections that were kept for too long are closed, and targets
/// that fell silent are noticed.
const TIDY: Duration = Duration::from_millis(500);

/// Settings of a proxy.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Availability zone of this entry.
    pub zone: String,
    /// Times.
    pub timing: Timing,
    /// How targets are spoken to.
    pub dialect: Dialect,
}

/// Takes each request to its targets; clones share everything.
#[derive(Clone)]
pub struct Proxy {
    watcher: Watcher,
    placer: Arc<Placer>,
    timing: Arc<Timing>,
    dialect: Dialect,
    metrics: Metrics,
    began: Instant,
}

impl Proxy {
    /// Begins to keep services and targets in line with what the watcher holds.
    #[must_use]
    pub fn spawn(watcher: Watcher, cfg: ProxySettings, registry: &mut Registry) -> Proxy {
        let metrics = Metrics::default();
        metrics.register(registry);
        let proxy = Proxy {
            placer: Arc::new(Placer::new(&cfg.zone, cfg.timing.clone())),
            timing: Arc::new(cfg.timing),
            dialect: cfg.dialect,
            metrics,
            watcher,
            began: Instant::now(),
        };
        tokio::spawn(follow(
            proxy.watcher.clone(),
            Arc::clone(&proxy.placer),
            proxy.metrics.clone(),
        ));
        proxy
    }

    /// Runs one request.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] that says whether it ran.
    pub async fn run(&self, req: ProxyRequest) -> Result<TargetResponse, Refusal> {
        self.metrics.open.inc();
        let _open = Open(&self.metrics);
        let arrived = req.arrived;
        let mut service = String::new();
        let answered = self.direct(req, &mut service).await;
        match &answered {
            Ok(answer) => {
                self.metrics.ended(&service, answer.status.as_str());
                self.metrics.began(&service, arrived.elapsed());
            }
            Err(refusal) => self.metrics.ended(&service, &refusal.reason.to_string()),
        }
        answered
    }

    /// Runs it, and tells the service once that is known.
    async fn direct(
        &self,
        req: ProxyRequest,
        led_to: &mut String,
    ) -> Result<TargetResponse, Refusal> {
        let table = self.known_table(&req).await?;
        let route = table.route(&req.host, req.path_only());
        let route = route.ok_or_else(|| refuse(&req, &table, Reason::NoRoute))?;
        let account = account(&table, route, &req)?;
        let waits = req
            .timeout
            .map_or(route.timeout, |waits| waits.min(route.timeout));
        let service = route.service(rand::random());
        service.clone_into(led_to);
        let dispatch = Dispatch::new(account, service, route, req.arrived + waits, self, req);
        dispatch.run().await
    }

    /// The table in force; soon after the start it is waited for.
    async fn known_table(&self, req: &ProxyRequest) -> Result<Arc<Table>, Refusal> {
        let mut changed = self.watcher.watched().changed();
        loop {
            if let Some(table) = self.watcher.table() {
                return Ok(table);
            }
            let now = Instant::now();
            let patience = req.timeout.unwrap_or(self.timing.inactivity);
            let deadline = req.arrived + patience;
            let absence = &self.timing.absence;
            let until = absence.waits_until(self.began, deadline, now);
            let Some((until, _waiter)) = until.zip(self.placer.waiter()) else {
                log::info!(request = req.id.as_str(); "refused: {}", Reason::NoTable);
                return Err(Refusal::after(
                    Reason::NoTable,
                    self.timing.retry_after_absent,
                ));
            };
            // Either outcome means that it is time to look again.
            let _ = timeout(until - now, changed.changed()).await;
        }
    }

    pub(crate) fn placer(&self) -> &Arc<Placer> {
        &self.placer
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

struct Open<'a>(&'a Metrics);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.dec();
    }
}

/// The client account of a caller who may use the route.
fn account(table: &Table, route: &Route, req: &ProxyRequest) -> Result<Option<String>, Refusal> {
    let known = req.api_key.as_deref().and_then(|key| table.account(key));
    if known.is_none() && table.has_accounts() && route.access == Access::Accounts {
        return Err(refuse(req, table, Reason::UnknownKey));
    }
    Ok(known.map(|account| account.name.clone()))
}

fn refuse(req: &ProxyRequest, table: &Table, reason: Reason) -> Refusal {
    log::info!(
        request = req.id.as_str(), host = req.host.as_str(), table = table.number();
        "refused: {reason}"
    );
    Refusal::new(reason)
}

async fn follow(watcher: Watcher, placer: Arc<Placer>, metrics: Metrics) {
    let mut changed = watcher.watched().changed();
    loop {
        let now = Instant::now();
        if let Some(table) = watcher.table() {
            placer.follow(&table, &watcher.watched().targets(now), now);
            metrics.set_table(table.number());
            for (service, able, all) in placer.counts() {
                metrics.set_targets(&service, able, all);
            }
        }
        placer.tidy(now);
        // An end of the wait means that it is time to look again.
        if let Ok(Err(_)) = timeout(TIDY, changed.changed()).await {
            return;
        }
    }
}
