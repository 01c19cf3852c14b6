//! Simulated caller: the state of its flow and of its current request. Timers and
//! retries are in `caller_events`.

use std::time::{Duration, Instant};

use super::sender::Sender;
use crate::flow::{Flags, Flow, Segment};

/// Times of the retransmissions of an unanswered SYN, from the first SYN.
pub const SYN_RETRANSMITS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When a caller gives up opening a flow.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum number of retries of a request.
pub const MAX_RETRIES: u8 = 2;

/// Delay before a retry.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum distance of a RST's sequence number from the next expected byte; a
/// caller ignores other RSTs on an established flow.
const RESET_WINDOW: u32 = 76_800;

/// State of a caller's flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// Opening; the number of retransmitted SYNs.
    Opening(u8),
    /// Waiting for a response.
    Waiting,
    /// Established without a pending request.
    Idle,
}

/// What a response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result of the request.
    Result,
    /// The target is full and has not executed the request.
    Shed,
    /// The target failed.
    Error,
}

/// A caller and its flow.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Index of the request class in [`Site::classes`](super::Site::classes).
    pub class: usize,
    /// Data centre.
    pub zone: u8,
    /// Current flow.
    pub flow: Flow,
    /// State of the flow.
    pub state: CallerState,
    /// When the current request began, before any retries.
    pub request_start: Instant,
    /// Retries of the current request so far.
    pub retries: u8,
    /// Incremented with each step, so that timers of earlier steps are ignored.
    pub generation: u32,
    /// Sender of the current request.
    pub sender: Sender,
    /// Initial sequence number.
    isn: u32,
    /// Next byte expected from the target.
    next: u32,
    /// Bytes of the response not yet received.
    pub remaining: u32,
    /// What the response to the current request says.
    pub answer: Answer,
    /// Packets received since the last acknowledgement was sent.
    unacked_packets: u8,
}

impl Caller {
    /// Creates a caller of `class` that is about to open `flow` for a request
    /// that began at `request_start`.
    #[must_use]
    pub const fn new(class: usize, zone: u8, flow: Flow, request_start: Instant) -> Self {
        let isn = 1_000;
        Self {
            class,
            zone,
            flow,
            state: CallerState::Opening(0),
            request_start,
            retries: 0,
            generation: 0,
            sender: Sender::new(isn + 1, 0),
            isn,
            next: 0,
            remaining: 0,
            answer: Answer::Result,
            unacked_packets: 0,
        }
    }

    /// The SYN that opens the flow. Its acknowledgement field counts the retransmissions.
    #[must_use]
    pub fn syn(&self, repeat: u8) -> Segment {
        let flags = Flags { syn: true, ..Flags::default() };
        Segment { ack: repeat.into(), ..self.segment(flags, self.isn) }
    }

    fn segment(&self, flags: Flags, seq: u32) -> Segment {
        let Flow { caller, vip: service } = self.flow;
        Segment { src: caller, dst: service, flags, seq, ack: self.next, len: 0 }
    }

    /// Records the target's initial sequence number from its SYN-ACK.
    pub const fn receive_syn_ack(&mut self, seq: u32) {
        self.next = seq.wrapping_add(1);
    }

    /// Starts a request of `len` bytes with a response of `response_len` bytes.
    pub const fn start_request(&mut self, len: u32, response_len: u32) {
        self.state = CallerState::Waiting;
        self.generation += 1;
        let start = self.sender.end();
        self.sender = Sender::new(start, len);
        self.remaining = response_len;
        self.answer = Answer::Result;
    }

    /// Appends the packets that the send window allows to `out`, with the length
    /// of their data.
    pub fn ready_packets(&mut self, out: &mut Vec<(Segment, u32)>) {
        let ack = Flags { ack: true, ..Flags::default() };
        while let Some((seq, len)) = self.sender.next_packet() {
            out.push((self.segment(ack, seq), len));
        }
    }

    /// An acknowledgement of all bytes received so far.
    #[must_use]
    pub fn ack(&self) -> Segment {
        let flags = Flags { ack: true, ..Flags::default() };
        self.segment(flags, self.sender.end())
    }

    /// The FIN that closes the flow.
    #[must_use]
    pub fn fin(&self) -> Segment {
        let flags = Flags { fin: true, ack: true, ..Flags::default() };
        self.segment(flags, self.sender.end())
    }

    /// Whether to accept a RST with sequence number `seq`: always while opening,
    /// afterwards only close to the next expected byte.
    #[must_use]
    pub const fn accepts_reset(&self, seq: u32) -> bool {
        let (ahead, behind) = (seq.wrapping_sub(self.next), self.next.wrapping_sub(seq));
        matches!(self.state, CallerState::Opening(_))
            || ahead <= RESET_WINDOW
            || behind <= RESET_WINDOW
    }

    /// Receives `len` bytes at `seq`; returns whether to acknowledge them now.
    pub const fn receive(&mut self, seq: u32, len: u32) -> bool {
        if seq != self.next || len > self.remaining {
            return true;
        }
        self.next = self.next.wrapping_add(len);
        self.remaining -= len;
        self.unacked_packets += 1;
        let ack_now = self.unacked_packets >= 2 || self.remaining == 0;
        if ack_now {
            self.unacked_packets = 0;
        }
        ack_now
    }
}
