//! A UDP socket that is read in batches and never makes the process wait to
//! send.

use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

use anyhow::Context;
use tokio::net::UdpSocket;

use crate::bus::{self, Message};
use crate::events;
use crate::metrics::load;

/// Most datagrams read at one wake-up, so that timers and the other socket
/// get their turn.
const MAX_BATCH: usize = 64;

/// One socket with its buffers.
#[derive(Debug)]
pub struct Socket {
    sock: UdpSocket,
}

impl Socket {
    /// A socket at `addr`, which is for `what`.
    pub async fn bind(addr: SocketAddrV4, purpose: &str) -> anyhow::Result<Self> {
        let sock =
            UdpSocket::bind(addr).await.with_context(|| format!("binding {addr} for {purpose}"))?;
        Ok(Self { sock })
    }

    /// Waits until a datagram is there.
    pub async fn readable(&self) {
        if let Err(e) = self.sock.readable().await {
            log::warn!(event = events::DATAGRAM_FAILED, error:% = e; "waiting failed");
        }
    }

    /// Hands the datagrams that are there to `take`, a batch at most; says
    /// whether that was all of them.
    pub fn read_batch(
        &self,
        buf: &mut [u8],
        mut handle: impl FnMut(&mut [u8], SocketAddrV4),
    ) -> bool {
        for _ in 0..MAX_BATCH {
            match self.sock.try_recv_from(buf) {
                Ok((n, SocketAddr::V4(from))) => handle(&mut buf[..n], from),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) => {
                    // A peer's closed port is reported on the next call.
                    log::debug!(event = events::DATAGRAM_FAILED, error:% = e; "receiving failed");
                }
            }
        }
        load::backlog();
        false
    }

    /// Sends a packet of a flow; one that the socket cannot take now is lost, as
    /// datagrams may be, and is sent again by the flow's ends.
    pub fn send_packet(&self, to: SocketAddrV4, bytes: &[u8]) {
        load::carried(bytes.len());
        self.try_send(to, bytes);
    }

    fn try_send(&self, to: SocketAddrV4, bytes: &[u8]) {
        if let Err(e) = self.sock.try_send_to(bytes, to.into()) {
            if e.kind() == ErrorKind::WouldBlock {
                load::refused();
            }
            log::debug!(event = events::DATAGRAM_FAILED, to:% = to, error:% = e; "sending failed");
        }
    }

    /// Sends one message, followed by a caller's packet.
    pub fn send_message(
        &self,
        to: SocketAddrV4,
        message: &Message<'_>,
        packet: &[u8],
        buf: &mut Vec<u8>,
    ) {
        match bus::encode(message, packet, buf) {
            Ok(()) => {
                if message.carries() {
                    load::carried(buf.len());
                } else {
                    load::message(buf.len());
                }
                self.try_send(to, buf);
            }
            Err(e) => {
                log::warn!(event = events::DATAGRAM_FAILED, to:% = to, error:% = e; "not encoded")
            }
        }
    }
}
