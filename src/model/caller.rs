//! A modelled caller's request: opens a flow, sends its bytes, takes the
//! answer, tries again where that is allowed.

use std::time::{Duration, Instant};

use super::stream::Sending;
use crate::flow::{Flags, Flow, Segment};

/// Copies of an open are sent after these pauses.
pub const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When an open without an answer is given up.
pub const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

/// Further tries of one request at most.
pub const RETRIES: u8 = 2;

/// Pause before a further try.
pub const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How far from the caller's last acknowledgement a reset of an open flow may
/// lie.
const RESET: u32 = 76_800;

/// How far a try has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The flow is being opened; so many copies were sent.
    Opening(u8),
    /// A request is on its way or being worked on.
    Asking,
    /// The flow is open and nothing is asked.
    Resting,
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
    pub stage: Stage,
    /// When the present request began.
    pub since: Instant,
    /// Tries of it that have ended.
    pub tries: u8,
    /// Counts what it does, so that old timers are told.
    pub turn: u32,
    /// The request's bytes.
    pub sending: Sending,
    /// First sequence number.
    isn: u32,
    /// Next byte expected of the target.
    next: u32,
    /// Bytes of the answer that are still to come.
    pub missing: u32,
    /// The target refuses the present request as not run.
    pub shed: bool,
    unacked: u8,
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
            stage: Stage::Opening(0),
            since,
            tries: 0,
            turn: 0,
            sending: Sending::new(isn + 1, 0),
            isn,
            next: 0,
            missing: 0,
            shed: false,
            unacked: 0,
        }
    }

    /// The packet that opens its flow, the `copy`-th of it.
    #[must_use]
    pub fn open(&self, copy: u8) -> Segment {
        let flags = Flags { syn: true, ..Flags::default() };
        Segment { ack: copy.into(), ..self.segment(flags, self.isn) }
    }

    fn segment(&self, flags: Flags, seq: u32) -> Segment {
        let Flow { caller, vip: service } = self.flow;
        Segment { src: caller, dst: service, flags, seq, ack: self.next, len: 0 }
    }

    /// The target agreed to open the flow.
    pub const fn opened(&mut self, seq: u32) {
        self.next = seq.wrapping_add(1);
    }

    /// Asks for `answer` bytes with a request of `len`.
    pub const fn ask(&mut self, len: u32, answer: u32) {
        self.stage = Stage::Asking;
        self.turn += 1;
        let from = self.sending.end();
        self.sending = Sending::new(from, len);
        self.missing = answer;
        self.shed = false;
    }

    /// The packets that its window has room for.
    pub fn packets(&mut self, out: &mut Vec<(Segment, u32)>) {
        let ack = Flags { ack: true, ..Flags::default() };
        while let Some((seq, len)) = self.sending.packet() {
            out.push((self.segment(ack, seq), len));
        }
    }

    /// The acknowledgement that opens the flow, or of what has come.
    #[must_use]
    pub fn acknowledgement(&self) -> Segment {
        let flags = Flags { ack: true, ..Flags::default() };
        self.segment(flags, self.sending.end())
    }

    /// The packet that ends the flow.
    #[must_use]
    pub fn finish(&self) -> Segment {
        let flags = Flags { fin: true, ack: true, ..Flags::default() };
        self.segment(flags, self.sending.end())
    }

    /// Whether a reset at position `seq` is taken: any is before the flow is
    /// open, then only one close to what the target has sent.
    #[must_use]
    pub const fn takes_reset(&self, seq: u32) -> bool {
        let (ahead, behind) = (seq.wrapping_sub(self.next), self.next.wrapping_sub(seq));
        matches!(self.stage, Stage::Opening(_)) || ahead <= RESET || behind <= RESET
    }

    /// Takes data of the target; says whether to acknowledge it.
    pub const fn data(&mut self, seq: u32, len: u32) -> bool {
        if seq != self.next || len > self.missing {
            return true;
        }
        self.next = self.next.wrapping_add(len);
        self.missing -= len;
        self.unacked += 1;
        let tell = self.unacked >= 2 || self.missing == 0;
        if tell {
            self.unacked = 0;
        }
        tell
    }
}
