//! Stand-in for an endpoint: reads calls and answers as the case says.

use crate::http::Connection;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One call that has come whole.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    /// The call has run: it took effect at this endpoint.
    pub ran: bool,
}

/// What an endpoint does with a call.
pub struct Reply {
    pub runs: bool,
    pub after: Duration,
    /// The bytes that are written, and whether the connection is closed behind them.
    pub bytes: Vec<u8>,
    pub close: bool,
}

impl Reply {
    pub fn delivered(after: Duration) -> Self {
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec();
        Reply {
            runs: true,
            after,
            bytes,
            close: false,
        }
    }
}

/// All calls to all endpoints of a run.
pub type Calls = Arc<Mutex<Vec<Call>>>;

/// Serves at a free port of this loopback address, and returns the address.
pub fn serve(
    name: &str,
    host: &str,
    calls: Calls,
    record: Record,
    reply: impl Fn(&str) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let at = listener.local_addr().expect("bound");
    let name = name.to_string();
    let reply = Arc::new(reply);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, calls, record, reply) = (name.clone(), calls.clone(), record.clone(), reply.clone());
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    let id = request.header("x-request-id").unwrap_or("").to_string();
                    let answer = reply(&id);
                    let call = Call {
                        id: id.clone(),
                        ran: answer.runs,
                    };
                    calls.lock().unwrap().push(call);
                    record.line(format!(
                        "{name} call {id} {}",
                        if answer.runs { "runs" } else { "does not run" }
                    ));
                    thread::sleep(answer.after);
                    let first = String::from_utf8_lossy(&answer.bytes)
                        .lines()
                        .next()
                        .unwrap_or("")
                        .to_string();
                    record.line(format!("{name} answers {id} {first}"));
                    if connection.write(&answer.bytes).is_err() || answer.close {
                        break;
                    }
                }
            });
        }
    });
    at
}
