//! Health, readiness and metrics routes.

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode};
use prometheus_client::encoding::text::{encode, encode_registry};
use prometheus_client::registry::Registry;

use crate::{Problem, Response, caller_metrics, full, json};

const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type ReadinessCheck = dyn Fn() -> Result<(), String> + Send + Sync;

/// Handler for `/healthz`, `/readyz` and `/metrics`; cheap to clone.
#[derive(Clone)]
pub struct MonitoringRoutes {
    registry: Arc<Registry>,
    ready: Arc<ReadinessCheck>,
}

impl MonitoringRoutes {
    /// Creates the routes. `ready` returns the reason if the daemon is not ready.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// let registry = Arc::new(admin::Registry::default());
    /// let routes = admin::MonitoringRoutes::new(registry, || Ok(()));
    /// let ready = routes.answer(&admin::Method::GET, "/readyz").unwrap();
    /// assert_eq!(ready.status(), 200);
    /// ```
    #[must_use]
    pub fn new(
        registry: Arc<Registry>,
        ready: impl Fn() -> Result<(), String> + Send + Sync + 'static,
    ) -> Self {
        MonitoringRoutes {
            registry,
            ready: Arc::new(ready),
        }
    }

    /// Answers a request, or returns `None` if the path is not one of these routes.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// let routes = admin::MonitoringRoutes::new(Arc::new(admin::Registry::default()), || Ok(()));
    /// let posted = routes.answer(&admin::Method::POST, "/metrics").unwrap();
    /// assert_eq!(posted.status(), 405);
    /// ```
    #[must_use]
    pub fn answer(&self, method: &Method, path: &str) -> Option<Response> {
        if !["/healthz", "/readyz", "/metrics"].contains(&path) {
            return None;
        }
        if method != Method::GET && method != Method::HEAD {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Some(Problem::new(status, "only GET is known here").into_response());
        }
        Some(match path {
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(),
            _ => json(StatusCode::OK, r#"{"status":"ok"}"#),
        })
    }

    fn readiness(&self) -> Response {
        match (self.ready)() {
            Ok(()) => json(StatusCode::OK, r#"{"status":"ready"}"#),
            Err(reason) => Problem::new(StatusCode::SERVICE_UNAVAILABLE, reason).into_response(),
        }
    }

    fn metrics(&self) -> Response {
        let mut text = String::new();
        let encoded = encode_registry(&mut text, caller_metrics::registry())
            .and_then(|()| encode(&mut text, &self.registry));
        if encoded.is_err() {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Problem::new(status, "a metric can't be encoded").into_response();
        }
        let mut response = Response::new(full(text));
        let kind = HeaderValue::from_static(OPENMETRICS_CONTENT_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}
