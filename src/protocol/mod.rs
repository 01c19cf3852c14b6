//! What balancers and agents say to each other about flows: one UDP datagram
//! a message, a `postcard`-encoded [`Message`] followed, where the message
//! carries one, by a caller's packet as it came.
//!
//! Variants are numbered in their order, and processes of two versions talk to
//! each other while a release is rolled out: new ones come last.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::flow::Flow;
use crate::metrics::Refusal;
use crate::wire::Offer;

/// Largest datagram between balancers and agents, in bytes: a packet of 1,236
/// bytes and a message head of at most 200.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<'a> {
    /// The packet that follows asks to open a flow.
    Open(#[serde(borrow)] Open<'a>),
    /// The packet that follows belongs to an open flow.
    #[serde(rename = "Carry")]
    Forward {
        /// The service that the flow's route names.
        service: &'a str,
        /// What the agent does if it does not know the flow.
        mode: ForwardMode,
    },
    /// An agent tells a balancer of a flow.
    #[serde(rename = "Note")]
    FlowUpdate(FlowUpdate),
    /// A balancer asks an agent which of these flows its target holds.
    #[serde(rename = "Ask")]
    Query(#[serde(borrow)] Query<'a>),
    /// An agent answers an [`Query`].
    #[serde(rename = "Answers")]
    Response {
        /// What it knows of each flow.
        answers: Vec<Answer>,
        /// Its load, as [`crate::agent::placement::backlog_load`].
        load: u32,
    },
    /// Which agent's target holds a flow: a balancer tells the flow's home, and an
    /// agent that stops tells another one, or the agent itself.
    Hint {
        /// The flow.
        flow: Flow,
        /// The agent.
        agent: SocketAddrV4,
    },
    /// A balancer asks whether the agent is there.
    Ping {
        /// Whether the store lists the agent.
        listed: bool,
    },
    /// An agent is there.
    Pong {
        /// The service of its target.
        service: &'a str,
        /// Its load, as [`crate::agent::placement::backlog_load`].
        load: u32,
    },
    /// An agent that answered a [`Message::Ping`] says that no process of its target
    /// runs, as [`FlowStatus::TargetEnded`].
    #[serde(rename = "Ended")]
    TargetEnded,
}

impl Message<'_> {
    /// Whether it hands a packet to the agent that holds its flow; all others
    /// find or place flows.
    #[must_use]
    pub const fn is_forward_to_owner(&self) -> bool {
        matches!(self, Self::Forward { mode: ForwardMode::Owner, .. })
    }
}

/// An open as offered to agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open<'a> {
    /// The service that the flow's route names.
    pub service: &'a str,
    /// Open flows that a target of the service holds at most.
    pub max_flows: u32,
    /// It has waited so long that newer ones go first.
    pub aged: bool,
    /// The agents it is offered to.
    pub offer: Offer,
    /// The balancer that wants to know what became of it.
    #[serde(rename = "reply")]
    pub reply_to: SocketAddrV4,
}

/// Most flows in one [`Query`]: with their answers, which are longer, they fit a
/// packet of 1,236 bytes, so that no link has to cut it.
pub const MAX_QUESTIONS: usize = 40;

/// Which agent's target holds some flows. It carries none of their data: most
/// agents that are asked do not hold them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query<'a> {
    /// The service that the flows' route names.
    pub service: &'a str,
    /// The flows.
    pub questions: Vec<Question>,
}

/// One flow that is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The flow.
    pub flow: Flow,
    /// What its caller's last packet acknowledged: of two targets that answered
    /// copies of one open, the caller goes on with the one that this names.
    pub ack: Option<u32>,
}

/// What an agent knows of one flow that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The flow.
    pub flow: Flow,
    /// Whether its own target holds it.
    pub status: FlowStatus,
    /// Another agent to which it passed the flow's open, or which a balancer
    /// named.
    pub hint: Option<SocketAddrV4>,
}

/// What an agent does with a packet of a flow that it does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardMode {
    /// The balancer believes that the flow is the agent's: an agent that may
    /// have forgotten flows tries its target.
    Owner,
    /// No agent knew it: an agent that may have forgotten flows tries its
    /// target.
    Try,
}

/// What became of a flow at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowUpdate {
    /// The flow.
    pub flow: Flow,
    /// What became of it.
    pub status: FlowStatus,
    /// The agent's load, as [`crate::agent::placement::backlog_load`].
    pub load: u32,
}

/// What an agent knows of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowStatus {
    /// Its target holds the flow.
    Held,
    /// Its target does not hold the flow.
    Unknown,
    /// The agent started after its target and has never seen the flow; the
    /// target may hold it.
    Unverified,
    /// The offered agents may not take it; nothing ran.
    Refused(Refusal),
    /// It was tried at the target, which does not hold it.
    NotOwner,
    /// No process of its target runs: it holds no flow, and takes none before the
    /// store can name the target's next start.
    #[serde(rename = "Ended")]
    TargetEnded,
}

/// Encodes `message`, followed by `packet`, into `buf`.
///
/// # Errors
///
/// Fails when the message does not fit a datagram.
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

/// Decodes a message and the packet that follows it.
///
/// # Errors
///
/// Fails when the bytes are no message.
pub fn decode(bytes: &[u8]) -> postcard::Result<(Message<'_>, &[u8])> {
    postcard::take_from_bytes(bytes)
}
