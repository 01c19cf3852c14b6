//! HTTP endpoints for operators, on the metrics port: `/metrics` in the Prometheus
//! text format, and `/beliefs`, the process's state as JSON. With
//! `?flow=CALLER>VIP` it includes the state of that flow.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::http::StatusCode;

use super::Settings;
use crate::flow::Flow;
use crate::http::{HttpResponse, Server};
use crate::metrics;

/// A process whose state can be inspected.
pub trait Inspect {
    /// Returns the state as JSON, with that of `flow` if given.
    fn current_state(&self, flow: Option<Flow>) -> serde_json::Value;

    /// Updates the gauges of the state.
    fn publish_gauges(&self);
}

/// Serves the metrics and the state of `process`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve<P: Inspect + 'static>(
    settings: &Settings,
    process: Rc<RefCell<P>>,
) -> anyhow::Result<Server> {
    let addr = SocketAddr::new(settings.ip.into(), settings.metrics);
    Server::start(addr, move |request| match request.path.as_str() {
        "/metrics" => {
            process.borrow().publish_gauges();
            metrics::process::publish();
            HttpResponse {
                status: StatusCode::OK,
                content_type: "text/plain",
                body: metrics::prometheus_text(),
            }
        }
        "/beliefs" => match parse_flow(&request.query) {
            Ok(flow) => HttpResponse::json(process.borrow().current_state(flow).to_string()),
            Err(e) => HttpResponse {
                status: StatusCode::BAD_REQUEST,
                content_type: "text/plain",
                body: format!("{e:#}\n"),
            },
        },
        _ => HttpResponse::empty(StatusCode::NOT_FOUND),
    })
    .await
}

fn parse_flow(query: &str) -> anyhow::Result<Option<Flow>> {
    let Some(text) = query.strip_prefix("flow=") else { return Ok(None) };
    text.replace("%3E", ">").parse().map(Some)
}
