//! A modelled caller's request: opens a flow, sends its bytes, takes the
//! answer, tries again where that is allowed.

use std::time::{Duration, Instant};

use super::sender::Sender;
use crate::flow::{Flags, Flow, Segment};

/// Copies of an open are sent after these pauses.
pub const SYN_REPEATS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When an open without an answer is given up.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Further tries of one request at most.
pub const MAX_RETRIES: u8 = 2;

/// Pause before a further try.
pub const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How far from the caller's last acknowledgement a reset of an open flow may
/// lie.
const RESET_WINDOW: u32 = 76_800;

/// How far a try has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerState {
    /// The flow is being opened; so many copies were sent.
    Opening(u8),
    /// A request is on its way or being worked on.
    Waiting,
    /// The flow is open and nothing is asked.
    Idle,
}

/// One caller with its flow.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Which of the site's classes.
    pub class: usize,
    /// Its data centre.
    pub zone: u8,
    /// Its flow.
    pub flow: Flow,
    /// How far it has come.
    pub state: CallerState,
    /// When the present request began.
    pub request_start: Instant,
    /// Tries of it that have ended.
    pub retries: u8,
    /// Counts what it does, so that old timers are told.
    pub generation: u32,
    /// The request's bytes.
    pub sender: Sender,
    /// First sequence number.
    isn: u32,
    /// Next byte expected of the target.
    next: u32,
    /// Bytes of the answer that are still to come.
    pub remaining: u32,
    /// The target refuses the present request as not run.
    pub shed: bool,
    unacked_packets: u8,
}

impl Caller {
    /// A caller of `class` that opens `flow` for a request since `since`.
    #[must_use]
    pub const fn new(class: usize, zone: u8, flow: Flow, since: Instant) -> Self {
        let isn = 1_000;
        Self {
            class,
            zone,
            flow,
            state: CallerState::Opening(0),
            request_start: since,
            retries: 0,
            generation: 0,
            sender: Sender::new(isn + 1, 0),
            isn,
            next: 0,
            remaining: 0,
            shed: false,
            unacked_packets: 0,
        }
    }

    /// The packet that opens its flow, the `copy`-th of it.
    #[must_use]
    pub fn syn(&self, copy: u8) -> Segment {
        let flags = Flags { syn: true, ..Flags::default() };
        Segment { ack: copy.into(), ..self.segment(flags, self.isn) }
    }

    fn segment(&self, flags: Flags, seq: u32) -> Segment {
        let Flow { caller, vip: service } = self.flow;
        Segment { src: caller, dst: service, flags, seq, ack: self.next, len: 0 }
    }

    /// The target agreed to open the flow.
    pub const fn receive_syn_ack(&mut self, seq: u32) {
        self.next = seq.wrapping_add(1);
    }

    /// Asks for `answer` bytes with a request of `len`.
    pub const fn start_request(&mut self, len: u32, answer: u32) {
        self.state = CallerState::Waiting;
        self.generation += 1;
        let from = self.sender.end();
        self.sender = Sender::new(from, len);
        self.remaining = answer;
        self.shed = false;
    }

    /// The packets that its window has room for.
    pub fn ready_packets(&mut self, out: &mut Vec<(Segment, u32)>) {
        let ack = Flags { ack: true, ..Flags::default() };
        while let Some((seq, len)) = self.sender.next_packet() {
            out.push((self.segment(ack, seq), len));
        }
    }

    /// The acknowledgement that opens the flow, or of what has come.
    #[must_use]
    pub fn ack(&self) -> Segment {
        let flags = Flags { ack: true, ..Flags::default() };
        self.segment(flags, self.sender.end())
    }

    /// The packet that ends the flow.
    #[must_use]
    pub fn fin(&self) -> Segment {
        let flags = Flags { fin: true, ack: true, ..Flags::default() };
        self.segment(flags, self.sender.end())
    }

    /// Whether a reset at position `seq` is taken: any is before the flow is
    /// open, then only one close to what the target has sent.
    #[must_use]
    pub const fn accepts_reset(&self, seq: u32) -> bool {
        let (ahead, behind) = (seq.wrapping_sub(self.next), self.next.wrapping_sub(seq));
        matches!(self.state, CallerState::Opening(_))
            || ahead <= RESET_WINDOW
            || behind <= RESET_WINDOW
    }

    /// Takes data of the target; says whether to acknowledge it.
    pub const fn receive(&mut self, seq: u32, len: u32) -> bool {
        if seq != self.next || len > self.remaining {
            return true;
        }
        self.next = self.next.wrapping_add(len);
        self.remaining -= len;
        self.unacked_packets += 1;
        let tell = self.unacked_packets >= 2 || self.remaining == 0;
        if tell {
            self.unacked_packets = 0;
        }
        tell
    }
}
