//! The desk at which a target reports itself to its agent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use ntex::http::StatusCode;

use super::announce::Entry;
use crate::listen::{Answer, Asked, Server};
use crate::platform::report;
use crate::tracker::FlowTracker;
use crate::{events, metrics};

/// Takes the target's reports.
pub(super) async fn serve(
    addr: SocketAddr,
    holder: Rc<RefCell<FlowTracker>>,
    entry: Rc<Entry>,
) -> anyhow::Result<Server> {
    Server::start(addr, move |asked| heard(&asked, &mut holder.borrow_mut(), &entry)).await
}

fn heard(asked: &Asked, holder: &mut FlowTracker, entry: &Entry) -> Answer {
    let now = Instant::now();
    match report::decode(&asked.path, &asked.body, entry.target) {
        Ok(Some(report::Call::Heartbeat(r))) => {
            let (start, state, seq) = (r.incarnation.clone(), r.state, r.seq);
            if holder.handle_report(r, now) {
                log::info!(
                    event = events::EDGE_TARGET, target_id:% = start, state:% = state, report = seq,
                    flows = holder.flow_count();
                    "target reports"
                );
                entry.serves(start);
            }
            Answer::json(report::ANSWER.to_string())
        }
        Ok(Some(report::Call::Gone(start))) => {
            if holder.handle_shutdown_notice(&start, now) {
                log::info!(
                    event = events::EDGE_TARGET, target_id:% = start, state = "gone",
                    flows = holder.flow_count();
                    "target ends"
                );
            }
            Answer::json(report::ANSWER.to_string())
        }
        Ok(None) => Answer::empty(StatusCode::NOT_FOUND),
        Err(e) => {
            metrics::dropped("report_unreadable");
            log::warn!(event = events::REPORT_IGNORED, error:% = format!("{e:#}"); "report refused");
            Answer::empty(StatusCode::BAD_REQUEST)
        }
    }
}
