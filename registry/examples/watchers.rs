//! Measures what one change costs with many watchers, on replicas of the program that it starts itself:
//! `cargo run --release -p fleet-registry --example watchers -- PROGRAM REPLICAS WATCHERS CHANGES`

use std::error::Error;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

type Fault = Box<dyn Error>;

/// Endpoints that the list has from the start.
const LISTED: usize = 60;

fn main() -> Result<(), Fault> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(measure())
}

async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, String), Fault> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\ncontent-length: {length}\r\n"
    );
    stream
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no answer")?;
    Ok((
        head.split(' ').nth(1).ok_or("no status")?.parse()?,
        body.to_string(),
    ))
}

async fn until_done(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(), Fault> {
    let begin = Instant::now();
    while !call(address, method, path, body)
        .await
        .is_ok_and(|(status, _)| status == 200)
    {
        if begin.elapsed() > Duration::from_secs(20) {
            return Err(format!("{method} {path} is not answered").into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Reads a watch: the time and bytes of each line that is not empty.
async fn watch(
    address: SocketAddr,
    lines: mpsc::UnboundedSender<(Instant, usize)>,
) -> Result<(), Fault> {
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nhost: r\r\n\r\n")
        .await?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Err("a watch ended".into());
        }
        if line.starts_with('{') {
            lines.send((Instant::now(), line.len()))?;
        }
    }
}

fn target(port: usize) -> String {
    format!(
        r#"{{"endpoint":"10.0.0.1:{port}","pod_group":3,"az":"floor-2","model":"school-library"}}"#
    )
}

/// Resident memory of a process, KiB.
fn memory(process: &Child) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn told(what: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    if let (Some(least), Some(most)) = (values.first(), values.last()) {
        println!(
            "{what}: median {:.2}, {least:.2} to {most:.2}",
            values[values.len() / 2]
        );
    }
}

struct Replicas(Vec<Child>);

impl Drop for Replicas {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn measure() -> Result<(), Fault> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, replicas, watchers, changes] = arguments.as_slice() else {
        return Err("PROGRAM REPLICAS WATCHERS CHANGES".into());
    };
    let (replicas, watchers, changes): (usize, usize, usize) =
        (replicas.parse()?, watchers.parse()?, changes.parse()?);
    let folder = tempfile::tempdir()?;
    let b = 130 + std::process::id() % 100;
    let address = |replica: usize, port: u16| -> Result<SocketAddr, Fault> {
        Ok(format!("127.{b}.240.{}:{port}", replica + 1).parse()?)
    };
    let mut running = Replicas(Vec::new());
    for replica in 0..replicas {
        let mut text = format!(
            "cluster = \"m\"\nid = {}\nlisten = \"{}\"\npeers = \"{}\"\nfolder = \"r{replica}\"\n",
            replica + 1,
            address(replica, 8500)?,
            address(replica, 8600)?
        );
        for other in 0..replicas {
            let (peers, clients) = (address(other, 8600)?, address(other, 8500)?);
            text += &format!(
                "[[replica]]\nid = {}\npeers = \"{peers}\"\nclients = \"{clients}\"\n",
                other + 1
            );
        }
        let path = folder.path().join(format!("r{replica}.toml"));
        std::fs::write(&path, text)?;
        let mut command = Command::new(program);
        running.0.push(
            command
                .args(["run", "--config"])
                .arg(path)
                .stderr(Stdio::null())
                .spawn()?,
        );
    }
    let at = address(0, 8500)?;
    for number in 0..LISTED {
        until_done(at, "PUT", &format!("/v1/endpoints/s-{number}"), &target(1)).await?;
    }
    println!("memory, KiB: {} with no watcher", memory(&running.0[0]));
    // one that never reads, and the others
    let mut deaf = TcpStream::connect(at).await?;
    deaf.write_all(b"GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nhost: r\r\n\r\n")
        .await?;
    let (lines, mut heard) = mpsc::unbounded_channel();
    for _ in 0..watchers {
        let lines = lines.clone();
        tokio::spawn(async move {
            // a watch that ends shows as a count that is short
            let _ = watch(at, lines).await;
        });
    }
    for _ in 0..watchers {
        heard.recv().await.ok_or("no watch")?;
    }
    println!(
        "memory, KiB: {} with {watchers} watchers and one that never reads",
        memory(&running.0[0])
    );
    let (mut answered, mut first, mut last, mut bytes) = (vec![], vec![], vec![], vec![]);
    for change in 0..changes {
        let begin = Instant::now();
        let path = format!("/v1/endpoints/s-{}", change % LISTED);
        until_done(at, "PUT", &path, &target(change + 2)).await?;
        answered.push(begin.elapsed().as_secs_f64() * 1e3);
        let mut times = Vec::new();
        for _ in 0..watchers {
            let (heard_at, length) = tokio::time::timeout(Duration::from_secs(5), heard.recv())
                .await?
                .ok_or("no watch")?;
            times.push((heard_at - begin).as_secs_f64() * 1e3);
            bytes.push(length as f64);
        }
        times.sort_by(f64::total_cmp);
        first.extend(times.first());
        last.extend(times.last());
        sleep(Duration::from_millis(10)).await;
    }
    told("answered after, ms", answered);
    told("first watcher after, ms", first);
    told("last watcher after, ms", last);
    told("bytes for each watcher", bytes);
    println!("memory, KiB: {} at the end", memory(&running.0[0]));
    drop(deaf);
    Ok(())
}
