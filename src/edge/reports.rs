//! The HTTP endpoint at which a target reports its state to its agent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use ntex::http::StatusCode;

use super::registration::Registration;
use crate::events;
use crate::http::{HttpRequest, HttpResponse, Server};
use crate::metrics::{self, Retry};
use crate::platform::instances;
use crate::tracker::{FlowTracker, Target};

/// Serves the endpoint and applies each report to `tracker`.
pub(super) async fn serve(
    addr: SocketAddr,
    tracker: Rc<RefCell<FlowTracker>>,
    registration: Rc<Registration>,
) -> anyhow::Result<Server> {
    Server::start(addr, move |request| {
        handle_report(&request, &mut tracker.borrow_mut(), &registration)
    })
    .await
}

fn handle_report(
    request: &HttpRequest,
    tracker: &mut FlowTracker,
    registration: &Registration,
) -> HttpResponse {
    let now = Instant::now();
    match instances::decode(&request.path, &request.body, registration.target) {
        Ok(Some(instances::InstanceCall::Heartbeat(r))) => {
            let (incarnation, state, seq) = (r.incarnation.clone(), r.state, r.seq);
            if tracker.handle_report(r, now) {
                log::info!(
                    event = events::EDGE_TARGET, target_id:% = incarnation, state:% = state,
                    report = seq, flows = tracker.flow_count();
                    "target reported a new state"
                );
                let known = tracker.target().is_some_and(Target::all_flows_known);
                registration.set_incarnation(incarnation, known);
            }
            if tracker.awaits_record() {
                metrics::count_retry(Retry::UnrecordedStart);
                return HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            HttpResponse::json(instances::RESPONSE.to_string())
        }
        Ok(Some(instances::InstanceCall::Deregister(incarnation))) => {
            if tracker.handle_shutdown_notice(&incarnation, now) {
                log::info!(
                    event = events::EDGE_TARGET, target_id:% = incarnation, state = "gone",
                    flows = tracker.flow_count();
                    "target deregistered"
                );
            }
            HttpResponse::json(instances::RESPONSE.to_string())
        }
        Ok(None) => HttpResponse::empty(StatusCode::NOT_FOUND),
        Err(e) => {
            metrics::count_drop("report_unreadable");
            log::warn!(
                event = events::REPORT_IGNORED, error:% = format!("{e:#}");
                "report of the target cannot be decoded; ignored"
            );
            HttpResponse::empty(StatusCode::BAD_REQUEST)
        }
    }
}
