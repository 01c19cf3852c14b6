//! The desk at which a target reports itself to its agent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use ntex::http::StatusCode;

use super::announce::Entry;
use crate::hold::Holder;
use crate::listen::{Answer, Asked, Server};
use crate::platform::instances;
use crate::{events, metrics};

/// Takes the target's reports.
pub(super) async fn serve(
    addr: SocketAddr,
    holder: Rc<RefCell<Holder>>,
    entry: Rc<Entry>,
) -> anyhow::Result<Server> {
    Server::start(addr, move |asked| heard(&asked, &mut holder.borrow_mut(), &entry)).await
}

fn heard(asked: &Asked, holder: &mut Holder, entry: &Entry) -> Answer {
    let now = Instant::now();
    match instances::decode(&asked.path, &asked.body, entry.target) {
        Ok(Some(instances::InstanceCall::Heartbeat(r))) => {
            let (start, state, seq) = (r.start.clone(), r.state, r.seq);
            if holder.report(r, now) {
                log::info!(
                    event = events::EDGE_TARGET, target_id:% = start, state:% = state, report = seq,
                    flows = holder.flows();
                    "target reports"
                );
                entry.serves(start);
            }
            Answer::json(instances::RESPONSE.to_string())
        }
        Ok(Some(instances::InstanceCall::Deregister(start))) => {
            if holder.gone(&start, now) {
                log::info!(
                    event = events::EDGE_TARGET, target_id:% = start, state = "gone",
                    flows = holder.flows();
                    "target ends"
                );
            }
            Answer::json(instances::RESPONSE.to_string())
        }
        Ok(None) => Answer::empty(StatusCode::NOT_FOUND),
        Err(e) => {
            metrics::dropped("report_unreadable");
            log::warn!(event = events::REPORT_IGNORED, error:% = format!("{e:#}"); "report refused");
            Answer::empty(StatusCode::BAD_REQUEST)
        }
    }
}
