//! A proxy between a process and the store, which can cut it off: bytes stay where they are, and
//! new connections get no answer.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Passes connections to `addr` on to `to` while `cut` is not set.
pub fn start(addr: SocketAddrV4, to: SocketAddrV4, cut: Arc<AtomicBool>) -> Result<(), String> {
    let listener = TcpListener::bind(addr).map_err(|e| format!("proxy {addr}: {e}"))?;
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            let (cut1, cut2) = (cut.clone(), cut.clone());
            std::thread::spawn(move || pass(near, far, &cut1));
            std::thread::spawn(move || pass(far2, near2, &cut2));
        }
    });
    Ok(())
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buf = [0; 16_384];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        while cut.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
