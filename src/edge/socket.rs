//! A UDP socket with batched reads and non-blocking sends.

use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};

use anyhow::Context;
use tokio::net::UdpSocket;

use crate::events;
use crate::metrics::process;
use crate::protocol::{self, Message};

/// Most datagrams read at one wake-up. A larger value delays timers and the
/// process's other socket.
const MAX_BATCH: usize = 64;

/// A bound UDP socket.
#[derive(Debug)]
pub struct Socket {
    sock: UdpSocket,
}

impl Socket {
    /// Binds a socket to `addr`; `purpose` is named in the error.
    pub async fn bind(addr: SocketAddrV4, purpose: &str) -> anyhow::Result<Self> {
        let sock =
            UdpSocket::bind(addr).await.with_context(|| format!("binding {addr} for {purpose}"))?;
        Ok(Self { sock })
    }

    /// Waits until a datagram can be read.
    pub async fn readable(&self) {
        if let Err(e) = self.sock.readable().await {
            log::warn!(
                event = events::DATAGRAM_FAILED, error:% = e;
                "waiting for a datagram failed"
            );
        }
    }

    /// Passes the queued datagrams to `handle`, at most one batch. Returns whether
    /// the queue is empty.
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
                    // For example an ICMP error caused by an earlier send.
                    log::debug!(
                        event = events::DATAGRAM_FAILED, error:% = e;
                        "receiving a datagram failed"
                    );
                }
            }
        }
        process::count_read_backlog();
        false
    }

    /// Sends a packet of a flow. If the socket's buffer is full, the packet is
    /// dropped; the flow's endpoints retransmit it.
    pub fn send_packet(&self, to: SocketAddrV4, bytes: &[u8]) {
        process::add_forwarded_bytes(bytes.len());
        self.try_send(to, bytes);
    }

    fn try_send(&self, to: SocketAddrV4, bytes: &[u8]) {
        if let Err(e) = self.sock.try_send_to(bytes, to.into()) {
            if e.kind() == ErrorKind::WouldBlock {
                process::count_refused_send();
            }
            log::debug!(
                event = events::DATAGRAM_FAILED, to:% = to, error:% = e;
                "sending a datagram failed; dropped"
            );
        }
    }

    /// Encodes a message and the packet that it carries, if any, and sends them.
    pub fn send_message(
        &self,
        to: SocketAddrV4,
        message: &Message<'_>,
        packet: &[u8],
        buf: &mut Vec<u8>,
    ) {
        match protocol::encode(message, packet, buf) {
            Ok(()) => {
                if message.is_forward_to_owner() {
                    process::add_forwarded_bytes(buf.len());
                } else {
                    process::add_message_bytes(buf.len());
                }
                self.try_send(to, buf);
            }
            Err(e) => {
                log::warn!(
                    event = events::DATAGRAM_FAILED, to:% = to, error:% = e;
                    "encoding a message failed; not sent"
                )
            }
        }
    }
}
