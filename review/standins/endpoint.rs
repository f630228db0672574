//! A sound endpoint: it runs each call once its last byte has come, and answers 200 when it is done.

use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    /// Ids of the messages that were run, and when.
    pub runs: Arc<Mutex<Vec<(String, Instant)>>>,
    /// How long a call takes.
    pace: Duration,
}

impl Endpoint {
    pub fn start(record: &Arc<Record>, pace: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address for the endpoint");
        let endpoint = Endpoint {
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            pace,
        };
        let (served, record) = (endpoint.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                std::thread::spawn(move || {
                    let _ = served.serve(stream, &record);
                });
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = vec![0; content_length(&head)];
            reader.read_exact(&mut body)?;
            let id = header(&head, "x-request-id").unwrap_or("-").to_string();
            record.line(format_args!("endpoint runs {id}"));
            self.runs.lock().unwrap().push((id, Instant::now()));
            std::thread::sleep(self.pace);
            writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        }
        Ok(())
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|(run, _)| run == id)
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// Reads the head of a request or an answer; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

pub fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    head.iter().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

pub fn content_length(head: &[String]) -> usize {
    header(head, "content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
