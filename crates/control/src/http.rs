//! Operators' HTTP server of a replica.

use crate::leader_client::LeaderClient;
use crate::listeners::HttpListener;
use crate::metrics::Metrics;
use admin::{
    MonitoringRoutes, OperatorRoutes, OperatorToken, Problem, Registry, RequestBody, Response,
    ServerSettings, available_memory,
};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Part of the memory that operators may make a replica hold. The rest is for the durable
/// state and what is on the way to other replicas.
const OPERATORS_MEMORY_PART: usize = 4;

/// Serves requests until `stop` is cancelled.
pub(crate) async fn serve(
    listener: HttpListener,
    token: OperatorToken,
    leader_client: LeaderClient,
    metrics: Metrics,
    registry: Registry,
    stop: CancellationToken,
) {
    let propose = {
        let leader_client = leader_client.clone();
        move |body| {
            let leader_client = leader_client.clone();
            let answer = async move { leader_client.propose(body).await };
            Box::pin(answer) as std::pin::Pin<Box<dyn Future<Output = _> + Send>>
        }
    };
    let query = move |body| {
        let leader_client = leader_client.clone();
        let answer = async move { leader_client.query(body).await };
        Box::pin(answer) as std::pin::Pin<Box<dyn Future<Output = _> + Send>>
    };
    let operators = OperatorRoutes::new(token, Arc::new(propose), Arc::new(query));
    let ready = move || match metrics.has_leader.get() {
        1 => Ok(()),
        _ => Err("no leader is known".to_owned()),
    };
    let pages = MonitoringRoutes::new(Arc::new(registry), ready);
    let handler = move |req: hyper::Request<RequestBody>| {
        let (operators, pages) = (operators.clone(), pages.clone());
        async move { answer(req, &operators, &pages).await }
    };
    let cfg = ServerSettings {
        max_bytes: available_memory() / OPERATORS_MEMORY_PART,
        ..ServerSettings::default()
    };
    match listener {
        HttpListener::Bound(listener) => admin::serve(listener, cfg, stop, handler).await,
        HttpListener::WhenFree(address) => {
            if let Err(e) = admin::serve_when_free(address, cfg, stop, handler).await {
                log::error!("operators' HTTP server can't start: {e}");
            }
        }
    }
}

async fn answer(
    req: hyper::Request<RequestBody>,
    operators: &OperatorRoutes,
    pages: &MonitoringRoutes,
) -> Response {
    let path = req.uri().path();
    if let Some(page) = pages.answer(req.method(), path) {
        return page;
    }
    if OperatorRoutes::matches(path) {
        let id = format!("{:016x}", rand::random::<u64>());
        return operators.handle(req, &id).await;
    }
    Problem::new(hyper::StatusCode::NOT_FOUND, "no such page").into_response()
}
