//! Health, readiness and metrics.

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::{Problem, Response, full, json};

const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Ready = dyn Fn() -> Result<(), String> + Send + Sync;

/// Answers `/healthz`, `/readyz` and `/metrics`; cheap to clone.
#[derive(Clone)]
pub struct MonitoringRoutes {
    registry: Arc<Registry>,
    ready: Arc<Ready>,
}

impl MonitoringRoutes {
    /// Makes the pages. `ready` tells why the daemon can't do its work now.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// let registry = Arc::new(admin::Registry::default());
    /// let pages = admin::MonitoringRoutes::new(registry, || Ok(()));
    /// let ready = pages.answer(&admin::Method::GET, "/readyz").unwrap();
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

    /// The page at a path, if it is one of these.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// let pages = admin::MonitoringRoutes::new(Arc::new(admin::Registry::default()), || Ok(()));
    /// let posted = pages.answer(&admin::Method::POST, "/metrics").unwrap();
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
        if encode(&mut text, &self.registry).is_err() {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Problem::new(status, "a metric can't be encoded").into_response();
        }
        let mut response = Response::new(full(text));
        let kind = HeaderValue::from_static(OPENMETRICS);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}
