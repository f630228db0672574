//! A sender that breaks a rule on purpose, so that the checkers can be shown to catch it. `FAULTY` says which way:
//! `drops` what it takes on, calls `uninvited`, delivers each message `twice`, `believes` that every call delivers, or
//! `crashes` at its third message.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

type Fault = Box<dyn std::error::Error + Send + Sync>;

/// A request's or answer's first line, headers and body.
type Heard = (String, HashMap<String, String>, Vec<u8>);

/// Reads one request or answer.
fn read(reader: &mut BufReader<TcpStream>) -> Result<Heard, Fault> {
    let (mut first, mut headers) = (String::new(), HashMap::new());
    reader.read_line(&mut first)?;
    if first.is_empty() {
        return Err("the peer has gone".into());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) => {
                drop(headers.insert(name.to_ascii_lowercase(), value.to_string()))
            }
            None => break,
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first, headers, body))
}

fn ask(address: &str, request: &str) -> Result<Vec<u8>, Fault> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(request.as_bytes())?;
    Ok(read(&mut BufReader::new(stream))?.2)
}

struct Faulty {
    way: String,
    /// The first endpoint of each destination.
    endpoints: HashMap<u64, String>,
    taken: AtomicUsize,
}

impl Faulty {
    fn serve(&self, stream: TcpStream) -> Result<(), Fault> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let (first, headers, _) = read(&mut reader)?;
            let posted = first.starts_with("POST");
            let status = if posted { 202 } else { 200 };
            stream.write_all(
                format!("HTTP/1.1 {status} Ok\r\ncontent-length: 0\r\n\r\n").as_bytes(),
            )?;
            if posted {
                self.taken(&headers)?;
            }
        }
    }

    fn taken(&self, headers: &HashMap<String, String>) -> Result<(), Fault> {
        let number = self.taken.fetch_add(1, Ordering::SeqCst);
        let id = headers.get("x-request-id").ok_or("no id")?;
        let destination = headers
            .get("envelope")
            .and_then(|text| text.strip_prefix("dest="))
            .ok_or("no dest")?;
        let endpoint = self
            .endpoints
            .get(&destination.parse()?)
            .ok_or("no endpoint")?;
        let call = |id: &str| {
            let head =
                format!("POST /inbox HTTP/1.1\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n");
            ask(endpoint, &head).map(drop)
        };
        match self.way.as_str() {
            "drops" => Ok(()),
            // whatever has come of the answer
            "believes" => {
                let _ = call(id);
                Ok(())
            }
            "uninvited" => call(id).and_then(|()| call("nobody's")),
            "twice" => call(id).and_then(|()| call(id)),
            _ if number == 2 => std::process::exit(7),
            _ => call(id),
        }
    }
}

fn main() -> Result<(), Fault> {
    let config = std::fs::read(std::env::var("RELAY_CONFIG")?)?;
    let config: serde_json::Value = serde_json::from_slice(&config)?;
    let text = |name: &str| config[name].as_str().unwrap_or_default().to_string();
    let list = ask(
        &text("discovery"),
        "GET /v1/endpoints HTTP/1.1\r\nhost: a\r\n\r\n",
    )?;
    let list: serde_json::Value = serde_json::from_slice(&list)?;
    let mut endpoints = HashMap::new();
    for target in list["targets"].as_array().ok_or("no list")? {
        let destination = target["pod_group"].as_u64().ok_or("no destination")?;
        let address = target["endpoint"].as_str().ok_or("no address")?;
        endpoints
            .entry(destination)
            .or_insert_with(|| address.to_string());
    }
    let way = std::env::var("FAULTY")?;
    let faulty = Arc::new(Faulty {
        way,
        endpoints,
        taken: AtomicUsize::new(0),
    });
    let mut serving = Vec::new();
    for address in [text("listen"), text("control")] {
        let (listener, faulty) = (TcpListener::bind(address)?, faulty.clone());
        serving.push(std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let faulty = faulty.clone();
                // how a connection ends is its peer's affair
                std::thread::spawn(move || drop(faulty.serve(stream)));
            }
        }));
    }
    serving.into_iter().for_each(|thread| drop(thread.join()));
    Ok(())
}
