//! One HTTP/1.1 call on a connection of its own, and the reading of a message.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The status and body of the response; an error if none came in time.
pub fn call(
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> std::io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&addr.into(), timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request(addr, method, path, body).as_bytes())?;
    let message = read_message(&mut stream)?;
    Ok((status(&message), message_body(&message).to_vec()))
}

/// The bytes of a request.
pub fn request(addr: SocketAddrV4, method: &str, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one message with its body, whose length the header states.
pub fn read_message(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut message = Vec::new();
    let mut buf = [0; 16_384];
    loop {
        if let Some(end) = header_end(&message) {
            if message.len() >= end + content_length(&message[..end]) {
                return Ok(message);
            }
        }
        let n = stream.read(&mut buf)?;
        if n == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        message.extend_from_slice(&buf[..n]);
    }
}

fn header_end(message: &[u8]) -> Option<usize> {
    message.windows(4).position(|w| w == b"\r\n\r\n").map(|n| n + 4)
}

fn content_length(header: &[u8]) -> usize {
    let header = String::from_utf8_lossy(header).to_ascii_lowercase();
    let line = header.lines().find_map(|l| l.strip_prefix("content-length:"));
    line.and_then(|v| v.trim().parse().ok()).unwrap_or(0)
}

fn status(message: &[u8]) -> u16 {
    let line = String::from_utf8_lossy(&message[..message.len().min(32)]).into_owned();
    line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

pub fn message_body(message: &[u8]) -> &[u8] {
    header_end(message).map_or(&[], |end| &message[end..])
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().enumerate().fold(0_u32, |n, (i, b)| n | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            let c = B64[(n >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { c as char } else { '=' });
        }
    }
    text
}
