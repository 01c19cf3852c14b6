//! What a running process tells its operators over HTTP, at its VM's address
//! and the metrics port: `/metrics`, in the format that Prometheus reads, and
//! `/beliefs` (with `?flow=CALLER>SERVICE`, where that flow goes and why).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::http::StatusCode;

use super::Settings;
use crate::flow::Flow;
use crate::listen::{Answer, Server};
use crate::metrics;

/// A process that can be asked what it believes.
pub trait Inspect {
    /// Its beliefs, with that on `flow` where given.
    fn beliefs(&self, flow: Option<Flow>) -> serde_json::Value;

    /// Sets the gauges of its state.
    fn publish_gauges(&self);
}

/// Serves metrics and beliefs of `process`.
///
/// # Errors
///
/// Fails when the address is taken.
pub async fn serve<P: Inspect + 'static>(
    settings: &Settings,
    process: Rc<RefCell<P>>,
) -> anyhow::Result<Server> {
    let addr = SocketAddr::new(settings.ip.into(), settings.metrics);
    Server::start(addr, move |request| match request.path.as_str() {
        "/metrics" => {
            process.borrow().publish_gauges();
            metrics::load::publish();
            Answer { status: StatusCode::OK, kind: "text/plain", body: metrics::text() }
        }
        "/beliefs" => match parse_flow(&request.query) {
            Ok(flow) => Answer::json(process.borrow().beliefs(flow).to_string()),
            Err(e) => Answer {
                status: StatusCode::BAD_REQUEST,
                kind: "text/plain",
                body: format!("{e:#}\n"),
            },
        },
        _ => Answer::empty(StatusCode::NOT_FOUND),
    })
    .await
}

fn parse_flow(query: &str) -> anyhow::Result<Option<Flow>> {
    let Some(text) = query.strip_prefix("flow=") else { return Ok(None) };
    text.replace("%3E", ">").parse().map(Some)
}
