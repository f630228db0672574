//! A discovery of one list, for one sender on loopback.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Nothing listens on this port of loopback: a call there finds no connection.
const CLOSED: u16 = 1;
/// How often a watch hears an empty line, which says that discovery lives.
const ALIVE: Duration = Duration::from_millis(500);

/// A list of destinations with one endpoint each, all of them down, in lines of at most so many entries: the first is
/// a whole list, the others are changes of it.
pub fn lines(destinations: u32, per_line: u32) -> Vec<String> {
    let mut lines = Vec::new();
    let mut first = 0;
    while first < destinations {
        let last = first.saturating_add(per_line).min(destinations);
        let targets: Vec<String> = (first..last).map(target).collect();
        let (version, whole) = (lines.len() + 1, first == 0);
        lines.push(format!(
            r#"{{"rev":{version},"all":{whole},"targets":[{}]}}"#,
            targets.join(",")
        ));
        first = last;
    }
    lines
}

fn target(number: u32) -> String {
    let [_, high, middle, low] = number.to_be_bytes();
    let endpoint = SocketAddr::from((Ipv4Addr::new(127, high, middle, low), CLOSED));
    format!(
        r#"{{"uid":"s-{number:06}","endpoint":"{endpoint}","az":"a","model":"one","pod_group":{number},"state":"up","capacity_hint":1.3}}"#
    )
}

/// Serves the lines to each watch for as long as this process lives; where it listens.
///
/// # Errors
/// No port is to be had.
pub fn serve(lines: Vec<String>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let lines = Arc::new(lines);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let lines = lines.clone();
            // a watch that has ended asks again
            std::thread::spawn(move || answer(stream, &lines));
        }
    });
    Ok(address)
}

fn answer(mut stream: TcpStream, lines: &[String]) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut request = String::new();
    reader.read_line(&mut request)?;
    let mut header = String::new();
    while reader.read_line(&mut header)? > 2 {
        header.clear();
    }
    if !request.starts_with("GET /v1/endpoints?") {
        return stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for line in lines {
        chunk(&mut stream, line)?;
    }
    loop {
        std::thread::sleep(ALIVE);
        chunk(&mut stream, "")?;
    }
}

fn chunk(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n", line.len() + 1)?;
    stream.write_all(line.as_bytes())?;
    stream.write_all(b"\n\r\n")
}
