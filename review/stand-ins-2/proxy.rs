//! A proxy that passes HTTP calls on, one connection a call, and can hold some of them up.

use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use crate::http;

/// What happens to a call.
pub enum Fate {
    /// It is passed on, and so is the answer.
    Pass,
    /// It is passed on after this time. Its sender gets no answer, on a connection that stays
    /// silent.
    Late(Duration),
    /// It is lost, and its connection stays silent.
    Lost,
}

/// Serves `addr` and passes calls on to `to`. `decide` chooses the fate of each, by its bytes;
/// `done` is told the status of each late one.
pub fn start(
    addr: SocketAddrV4,
    to: SocketAddrV4,
    decide: impl Fn(&str) -> Fate + Send + Sync + Clone + 'static,
    done: impl Fn(String) + Send + Sync + Clone + 'static,
) -> Result<(), String> {
    let listener = TcpListener::bind(addr).map_err(|e| format!("proxy {addr}: {e}"))?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (decide, done) = (decide.clone(), done.clone());
            std::thread::spawn(move || serve(stream, to, decide, done));
        }
    });
    Ok(())
}

fn serve(
    mut stream: TcpStream,
    to: SocketAddrV4,
    decide: impl Fn(&str) -> Fate,
    done: impl Fn(String),
) {
    while let Ok(request) = http::read_message(&mut stream) {
        match decide(&String::from_utf8_lossy(&request)) {
            Fate::Pass => {
                let Ok(answer) = pass_on(to, &request) else { return };
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
            Fate::Lost => loop {
                std::thread::park();
            },
            Fate::Late(delay) => {
                std::thread::sleep(delay);
                let answer = pass_on(to, &request);
                let status = answer
                    .map(|a| String::from_utf8_lossy(&a).lines().next().unwrap_or("").to_string());
                done(format!("{status:?}"));
                return;
            }
        }
    }
}

fn pass_on(to: SocketAddrV4, request: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut upstream = TcpStream::connect(to)?;
    upstream.set_read_timeout(Some(Duration::from_secs(40)))?;
    upstream.write_all(request)?;
    http::read_message(&mut upstream)
}
