//! The protocol between balancers and agents: one UDP datagram per message, a
//! `postcard`-encoded [`Message`] followed by the caller's packet if the message
//! forwards one.
//!
//! Variants are encoded by their position, and two releases talk to each other
//! during a rollout: add new variants at the end.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::flow::Flow;
use crate::metrics::Refusal;
use crate::request::OpenRequest;
use crate::wire::Offer;

/// Largest datagram between balancers and agents: a 1,236-byte packet and a
/// message of at most 200 bytes fit.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A message between balancers and agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<'a> {
    /// Offers a new flow; the packet that follows opens it.
    Open(#[serde(borrow)] Open<'a>),
    /// Forwards a packet of an established flow, which follows the message.
    #[serde(rename = "Carry")]
    Forward {
        /// Service that the flow's route names.
        service: &'a str,
        /// Why this agent was chosen.
        mode: ForwardMode,
    },
    /// The status of a flow, sent by an agent to a balancer.
    #[serde(rename = "Note")]
    FlowUpdate(FlowUpdate),
    /// A balancer queries an agent for flows that its target may hold.
    #[serde(rename = "Ask")]
    Query(#[serde(borrow)] Query<'a>),
    /// An agent's response to a [`Query`].
    #[serde(rename = "Answers")]
    Response {
        /// One answer per queried flow.
        answers: Vec<Answer>,
        /// Load of the agent, as [`crate::agent::placement::backlog_load`].
        load: u32,
    },
    /// Names the agent whose target holds a flow. Sent by a balancer to the flow's
    /// home agent, and by a stopping agent to another agent or to the one named.
    Hint {
        /// The flow.
        flow: Flow,
        /// Agent whose target holds it.
        agent: SocketAddrV4,
    },
    /// Checks that an agent is reachable.
    Ping {
        /// Whether the store lists the agent.
        listed: bool,
    },
    /// An agent's answer to a [`Message::Ping`].
    Pong {
        /// Service of the agent's target.
        service: &'a str,
        /// Load of the agent, as [`crate::agent::placement::backlog_load`].
        load: u32,
    },
    /// Sent after a [`Message::Pong`] by an agent whose target has no running
    /// process, as [`FlowStatus::TargetEnded`].
    #[serde(rename = "Ended")]
    TargetEnded,
    /// As [`Message::Open`], for a service whose cold targets bear a limited rate.
    PacedOpen(#[serde(borrow)] Open<'a>, WarmUp),
    /// As [`Message::Open`], to agents that order opens by what their callers need.
    RequestOpen(#[serde(borrow)] Open<'a>, OpenRequest, Option<WarmUp>),
    /// An agent whose target has free slots asks another agent of its service for opens
    /// that wait in that one's queue.
    Steal {
        /// Service of its target.
        service: &'a str,
        /// Opens that its target can take at once.
        room: u32,
    },
    /// A balancer tells an agent that has queued an open that another agent has it, too.
    Withdraw {
        /// Flow of the open.
        flow: Flow,
    },
    /// As [`Message::RequestOpen`], for a service so large that only some agents may own the
    /// flow: one that queues it hands it over to the other agent of the offer only.
    BoundedOpen(#[serde(borrow)] Open<'a>, OpenRequest, Option<WarmUp>),
}

impl<'a> Message<'a> {
    /// The message that offers `open`.
    #[must_use]
    pub const fn offer(open: Open<'a>) -> Self {
        match (open.request, open.warm_up) {
            (Some(request), warm_up) if request.bounded => {
                Self::BoundedOpen(open, request, warm_up)
            }
            (Some(request), warm_up) => Self::RequestOpen(open, request, warm_up),
            (None, Some(warm_up)) => Self::PacedOpen(open, warm_up),
            (None, None) => Self::Open(open),
        }
    }

    /// Service of the agents that it is meant for, if it names one.
    #[must_use]
    pub const fn service(&self) -> Option<&str> {
        match self {
            Self::Open(open)
            | Self::PacedOpen(open, _)
            | Self::RequestOpen(open, ..)
            | Self::BoundedOpen(open, ..) => Some(open.service),
            Self::Forward { service, .. } | Self::Steal { service, .. } => Some(service),
            Self::Query(query) => Some(query.service),
            _ => None,
        }
    }

    /// Whether it forwards a packet to the known owner of its flow, rather than locating
    /// or placing a flow.
    #[must_use]
    pub const fn is_forward_to_owner(&self) -> bool {
        matches!(self, Self::Forward { mode: ForwardMode::Owner, .. })
    }
}

/// A new flow as offered to agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open<'a> {
    /// Service that the flow's route names.
    pub service: &'a str,
    /// Most open flows that one target of the service holds.
    pub max_flows: u32,
    /// Whether the open has waited so long that newer ones take precedence.
    pub aged: bool,
    /// Agents that it is offered to.
    pub offer: Offer,
    /// Balancer that is sent the outcome.
    #[serde(rename = "reply")]
    pub reply_to: SocketAddrV4,
    /// What cold targets of the service bear; sent beside the open, in
    /// [`Message::PacedOpen`].
    #[serde(skip)]
    pub warm_up: Option<WarmUp>,
    /// What its caller needs; sent beside the open, in [`Message::RequestOpen`].
    #[serde(skip)]
    pub request: Option<OpenRequest>,
}

/// What a target bears after its start, and what a balancer knows of targets that may
/// have become cold without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Requests that a cold target bears in 1,000 s.
    pub milli_rate: u32,
    /// Time since the first agent's data centre was taken back after an evacuation, in
    /// ms, if that was a short time ago.
    pub first_returned: Option<u32>,
    /// The same for the second agent.
    pub second_returned: Option<u32>,
}

/// Most flows in one [`Query`]: the response, which is longer than the query, fits
/// in 1,236 bytes and is not fragmented.
pub const MAX_QUERY_FLOWS: usize = 40;

/// A query for flows that a target may hold. It carries no caller data, as the
/// targets of most queried agents do not hold the flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query<'a> {
    /// Service that the flows' route names.
    pub service: &'a str,
    /// The flows, at most [`MAX_QUERY_FLOWS`].
    #[serde(rename = "questions")]
    pub flows: Vec<QueriedFlow>,
}

/// One flow in a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueriedFlow {
    /// The flow.
    pub flow: Flow,
    /// Acknowledgement number of the caller's last packet. If two targets answered
    /// copies of one open, it shows which of them the caller continues with.
    pub ack: Option<u32>,
}

/// What an agent knows about one flow of a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The flow.
    pub flow: Flow,
    /// Whether the agent's target holds it.
    pub status: FlowStatus,
    /// Another agent that may own the flow: one that the open was passed on to, or
    /// one named in a [`Message::Hint`].
    pub hint: Option<SocketAddrV4>,
}

/// Why a packet is forwarded to an agent. In either mode, an agent that may have
/// missed flows delivers a packet of an unknown flow to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardMode {
    /// The balancer knows the agent as the flow's owner.
    Owner,
    /// No agent is known to own the flow, and this one may.
    Try,
}

/// The status of a flow at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowUpdate {
    /// The flow.
    pub flow: Flow,
    /// Its status.
    pub status: FlowStatus,
    /// Load of the agent, as [`crate::agent::placement::backlog_load`].
    pub load: u32,
}

/// What an agent knows about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowStatus {
    /// The target holds the flow.
    Held,
    /// The target does not hold the flow.
    Unknown,
    /// The agent does not track the flow, but it started after its target, which may
    /// hold it.
    Unverified,
    /// The flow was refused by the agents it was offered to. The target received
    /// nothing of it.
    Refused(Refusal),
    /// The target returned a packet of the flow, so it does not hold it.
    NotOwner,
    /// No process of the target runs. It holds no flow, and accepts none until the
    /// store can list its next incarnation.
    #[serde(rename = "Ended")]
    TargetEnded,
    /// The agent keeps the open in its queue until its target has a free slot. The target
    /// has received nothing of it.
    Queued {
        /// Whether another agent handed the open over to it.
        handed_over: bool,
    },
}

/// Encodes `message`, followed by `packet`, into `buf`.
///
/// # Errors
///
/// Fails if both do not fit in [`MAX_DATAGRAM_BYTES`].
pub fn encode(message: &Message<'_>, packet: &[u8], buf: &mut Vec<u8>) -> postcard::Result<()> {
    buf.clear();
    buf.resize(MAX_DATAGRAM_BYTES, 0);
    let used = postcard::to_slice(message, buf)?.len();
    if used + packet.len() > MAX_DATAGRAM_BYTES {
        return Err(postcard::Error::SerializeBufferFull);
    }
    buf.truncate(used);
    buf.extend_from_slice(packet);
    Ok(())
}

/// Decodes a datagram into its message and the packet that follows.
///
/// # Errors
///
/// Fails if the datagram does not start with a valid message.
pub fn decode(bytes: &[u8]) -> postcard::Result<(Message<'_>, &[u8])> {
    postcard::take_from_bytes(bytes)
}
