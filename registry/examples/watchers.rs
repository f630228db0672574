//! Measures what one change costs with many watchers, on replicas of the program that it starts itself:
//! `cargo run --release -p fleet-registry --example watchers -- PROGRAM REPLICAS WATCHERS CHANGES`

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

type AnyError = Box<dyn Error>;

/// Endpoints that the list has from the start.
const ENDPOINTS: usize = 60;
const CLIENT_PORT: u16 = 8500;
const PEER_PORT: u16 = 8600;
/// The longest time for a request to succeed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest time for a change to reach the next watcher.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
const WATCH_REQUEST: &[u8] = b"GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nhost: r\r\n\r\n";

fn main() -> Result<(), AnyError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, replicas, watchers, changes] = arguments.as_slice() else {
        return Err("PROGRAM REPLICAS WATCHERS CHANGES".into());
    };
    let cluster = Cluster::start(program, replicas.parse()?)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(&cluster, watchers.parse()?, changes.parse()?))
}

/// Replicas that are killed when this is dropped.
struct Cluster {
    /// The second number of the addresses, 127.N.240.x.
    network: u32,
    replicas: Vec<Child>,
    _folder: TempDir,
}

impl Cluster {
    fn start(program: &str, count: usize) -> Result<Self, AnyError> {
        let folder = tempfile::tempdir()?;
        let network = 130 + std::process::id() % 100;
        let mut replicas = Vec::new();
        for replica in 0..count {
            let path = folder.path().join(format!("r{replica}.toml"));
            write_settings(&path, network, replica, count)?;
            let mut command = Command::new(program);
            replicas.push(
                command
                    .args(["run", "--config"])
                    .arg(path)
                    .stderr(Stdio::null())
                    .spawn()?,
            );
        }
        Ok(Cluster {
            network,
            replicas,
            _folder: folder,
        })
    }

    /// The first replica's address for clients.
    fn address(&self) -> Result<SocketAddr, AnyError> {
        address(self.network, 0, CLIENT_PORT)
    }

    /// Resident memory of the first replica, KiB.
    fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.replicas[0].id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in &mut self.replicas {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn address(network: u32, replica: usize, port: u16) -> Result<SocketAddr, AnyError> {
    Ok(format!("127.{network}.240.{}:{port}", replica + 1).parse()?)
}

fn write_settings(path: &Path, network: u32, replica: usize, count: usize) -> Result<(), AnyError> {
    let mut text = format!(
        "cluster = \"m\"\nid = {}\nlisten = \"{}\"\npeers = \"{}\"\nfolder = \"r{replica}\"\n",
        replica + 1,
        address(network, replica, CLIENT_PORT)?,
        address(network, replica, PEER_PORT)?
    );
    for other in 0..count {
        let clients = address(network, other, CLIENT_PORT)?;
        let peers = address(network, other, PEER_PORT)?;
        let id = other + 1;
        text += &format!("[[replica]]\nid = {id}\npeers = \"{peers}\"\nclients = \"{clients}\"\n");
    }
    Ok(std::fs::write(path, text)?)
}

/// A response, as far as it matters here.
struct HttpResponse {
    status: u16,
}

async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<HttpResponse, AnyError> {
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
    let (head, _) = text.split_once("\r\n\r\n").ok_or("no answer")?;
    Ok(HttpResponse {
        status: head.split(' ').nth(1).ok_or("no status")?.parse()?,
    })
}

async fn request_until_success(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(), AnyError> {
    let started = Instant::now();
    while !request(address, method, path, body)
        .await
        .is_ok_and(|response| response.status == 200)
    {
        if started.elapsed() > REQUEST_TIMEOUT {
            return Err(format!("{method} {path} is not answered").into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// A line that came to a watcher.
struct WatchLine {
    received_at: Instant,
    bytes: usize,
}

/// Reads a watch, and passes on each line that is not empty.
async fn watch(
    address: SocketAddr,
    lines: mpsc::UnboundedSender<WatchLine>,
) -> Result<(), AnyError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(WATCH_REQUEST).await?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Err("a watch ended".into());
        }
        if line.starts_with('{') {
            lines.send(WatchLine {
                received_at: Instant::now(),
                bytes: line.len(),
            })?;
        }
    }
}

fn endpoint(port: usize) -> String {
    format!(
        r#"{{"endpoint":"10.0.0.1:{port}","pod_group":3,"az":"floor-2","model":"school-library"}}"#
    )
}

fn print_distribution(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    if let (Some(least), Some(most)) = (values.first(), values.last()) {
        println!(
            "{name}: median {:.2}, {least:.2} to {most:.2}",
            values[values.len() / 2]
        );
    }
}

/// Figures of all changes.
#[derive(Default)]
struct Figures {
    answered_ms: Vec<f64>,
    first_watcher_ms: Vec<f64>,
    last_watcher_ms: Vec<f64>,
    bytes: Vec<f64>,
}

async fn measure(cluster: &Cluster, watchers: usize, changes: usize) -> Result<(), AnyError> {
    let address = cluster.address()?;
    for number in 0..ENDPOINTS {
        request_until_success(
            address,
            "PUT",
            &format!("/v1/endpoints/s-{number}"),
            &endpoint(1),
        )
        .await?;
    }
    println!("memory, KiB: {} with no watcher", cluster.memory());
    let mut stalled = TcpStream::connect(address).await?;
    stalled.write_all(WATCH_REQUEST).await?;
    let (lines, mut received) = mpsc::unbounded_channel();
    for _ in 0..watchers {
        let lines = lines.clone();
        tokio::spawn(async move {
            // a watch that ends shows as a count that is short
            let _ = watch(address, lines).await;
        });
    }
    for _ in 0..watchers {
        received.recv().await.ok_or("no watch")?;
    }
    println!(
        "memory, KiB: {} with {watchers} watchers and one that never reads",
        cluster.memory()
    );
    let mut figures = Figures::default();
    for change in 0..changes {
        measure_change(address, change, watchers, &mut received, &mut figures).await?;
        sleep(Duration::from_millis(10)).await;
    }
    print_distribution("answered after, ms", figures.answered_ms);
    print_distribution("first watcher after, ms", figures.first_watcher_ms);
    print_distribution("last watcher after, ms", figures.last_watcher_ms);
    print_distribution("bytes for each watcher", figures.bytes);
    println!("memory, KiB: {} at the end", cluster.memory());
    drop(stalled);
    Ok(())
}

/// Makes one change, and waits until all watchers have it.
async fn measure_change(
    address: SocketAddr,
    change: usize,
    watchers: usize,
    received: &mut mpsc::UnboundedReceiver<WatchLine>,
    figures: &mut Figures,
) -> Result<(), AnyError> {
    let started = Instant::now();
    let path = format!("/v1/endpoints/s-{}", change % ENDPOINTS);
    request_until_success(address, "PUT", &path, &endpoint(change + 2)).await?;
    figures
        .answered_ms
        .push(started.elapsed().as_secs_f64() * 1e3);
    let mut times = Vec::new();
    for _ in 0..watchers {
        let line = timeout(WATCH_TIMEOUT, received.recv())
            .await?
            .ok_or("no watch")?;
        times.push((line.received_at - started).as_secs_f64() * 1e3);
        figures.bytes.push(line.bytes as f64);
    }
    times.sort_by(f64::total_cmp);
    figures.first_watcher_ms.extend(times.first());
    figures.last_watcher_ms.extend(times.last());
    Ok(())
}
