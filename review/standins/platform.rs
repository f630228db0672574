//! The platform: discovery, notices, the configuration file, and the start and kill of the sender.

use crate::endpoint::{content_length, read_head};
use crate::record::Record;
use crate::Play;
use std::fmt::Write as _;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub destination: usize,
}

/// The list in discovery's form.
pub fn list(version: u64, targets: &[Target]) -> String {
    let mut entries = String::new();
    for target in targets {
        let separator = if entries.is_empty() { "" } else { "," };
        let Target {
            uid,
            address,
            destination,
        } = target;
        let _ = write!(
            entries,
            r#"{separator}{{"uid":"{uid}","endpoint":"{address}","az":"floor-2","model":"reading-club","pod_group":{destination},"state":"up","capacity_hint":40.0,"boot_ms":0}}"#
        );
    }
    format!(r#"{{"rev":{version},"all":true,"targets":[{entries}]}}"#)
}

pub struct Discovery {
    pub address: SocketAddr,
    /// Bodies of the notices, and when they came.
    pub notices: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address for discovery");
        let address = listener.local_addr().unwrap();
        let notices: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
        let (kept, record) = (notices.clone(), record.clone());
        let list = Arc::new(list);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (kept, record, list) = (kept.clone(), record.clone(), list.clone());
                std::thread::spawn(move || {
                    let _ = serve(stream, &list, &kept, &record);
                });
            }
        });
        Discovery { address, notices }
    }

    /// Returns true if a notice for the message has come.
    pub fn has_notice(&self, id: &str) -> bool {
        let notices = self.notices.lock().unwrap();
        notices.iter().any(|(text, _)| text.contains(id))
    }
}

fn serve(
    stream: TcpStream,
    list: &str,
    notices: &Mutex<Vec<(String, Instant)>>,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let mut body = vec![0; content_length(&head)];
        reader.read_exact(&mut body)?;
        if head[0].starts_with("POST /v1/outcomes") {
            let text = String::from_utf8_lossy(&body).trim().to_string();
            for line in text.lines() {
                record.line(format_args!("notice {line}"));
            }
            notices.lock().unwrap().push((text, Instant::now()));
            writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else if head[0].contains("watch=1") {
            // a watch: the whole list at first, then an empty line every 2 s
            writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let text = format!("{list}\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
            loop {
                std::thread::sleep(Duration::from_secs(2));
                writer.write_all(b"1\r\n\n\r\n")?;
            }
        } else {
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            )?;
        }
    }
    Ok(())
}

/// Limits of the deployment page.
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
    pub disk_mb: u64,
}

pub struct Sender {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub limits: Limits,
    process: Option<Child>,
}

impl Sender {
    pub fn new(discovery: SocketAddr, limits: Limits) -> Self {
        // a free port: taken and given back
        let free = TcpListener::bind("127.0.0.1:0").expect("an address for the sender");
        Sender {
            listen: free.local_addr().unwrap(),
            discovery,
            limits,
            process: None,
        }
    }

    /// Writes the configuration file with the endpoint list as the sender last held it.
    pub fn configure(&self, play: &Play, known: &str) -> Result<(), String> {
        let Sender {
            listen, discovery, ..
        } = self;
        let Limits {
            memory_mb,
            sockets,
            disk_mb,
        } = self.limits;
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets},"disk_mb":{disk_mb}}},
 "known":{known},
 "settings":{{"az":"floor-2","balancers":2,"zones":["floor-2","floor-3"],
  "machineTypes":["payment-gateway","school-library","reading-club"],"discovery":"on_request","weights":"rough",
  "caps":{{"maxOpen":50,"mostTries":12,"mayCancel":true,"mayProbe":false,"secondCopies":true,"peers":false,
   "connIdle":15.0,"dialTimeout":1.0,"retryAfter":true,"maxRetryAfter":3.0,"multiplex":1}},
  "report":{{"how":"silent","fields":[]}},
  "classes":[
   {{"name":"loan-report","aim":4.0,"deadline":16.0,"worth":1.0,"lateShare":0.4,"effect":"deduplicated","group":"all","window":10.0}},
   {{"name":"title-status","aim":1.0,"deadline":6.0,"worth":2.0,"lateShare":0.1,"effect":"idempotent"}},
   {{"name":"reader-charge","aim":3.0,"deadline":20.0,"worth":5.0,"lateShare":0.5,"effect":"at_most_once","oneAtATime":true}}],
  "realms":[{{"name":"sach-vui","allowancePerS":1000.0,"fraction":1.0}}],"overShareWorth":0.1,
  "specifics":{{"callSlots":16,"bundleMax":[1,1,1],"routesApart":[false,false,false],"fades":"even"}},
  "safety":{{"stopSendingWithin":2.0,"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":1.5,
   "graceToAnswer":0.3,"turnGap":0.3,"askEvery":5.0}}}}}}"#
        );
        std::fs::write(play.folder.join("config.json"), text).map_err(|error| error.to_string())
    }

    /// Starts the sender with the command of the deploy file.
    pub fn start(&mut self, play: &Play) -> Result<(), String> {
        let run = std::env::var("RUN").map_err(|_| "RUN is not set")?;
        let state = play.folder.join("state");
        let temporary = play.folder.join("tmp");
        for folder in [&state, &temporary] {
            std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(play.folder.join("log"))
            .map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", self.listen.to_string())
            .env("RELAY_DISCOVERY", self.discovery.to_string())
            .env("RELAY_STATE", &state)
            .env("RELAY_CONFIG", play.folder.join("config.json"))
            .env("TMPDIR", &temporary)
            .env_remove("RELAY_CONTROL")
            .env_remove("RELAY_PASSED_SOCKET")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        // for run.sh, which ends this process if the play itself is ended
        let _ = std::fs::write(play.folder.join("pid"), child.id().to_string());
        play.record
            .line(format_args!("sender starts, process {}", child.id()));
        self.process = Some(child);
        Ok(())
    }

    /// Waits until `GET /ready` is answered with 200.
    pub fn wait_ready(&self, play: &Play) -> Result<(), String> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(30) {
            if self.is_ready() {
                play.record.line(format_args!("sender is ready"));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the sender did not get ready within 30 s".to_string())
    }

    /// Returns true if `GET /ready` on a new connection is answered with 200 within 0.4 s.
    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(400);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, wait) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(wait));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        matches!(read_head(&mut BufReader::new(stream)), Ok(Some(head)) if head[0].contains(" 200"))
    }

    /// SIGKILL.
    pub fn kill(&mut self, play: &Play) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
            play.record.line(format_args!("sender killed"));
        }
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.process.as_mut();
        child.is_none_or_ended()
    }

    /// Processor time that the process has used, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let Some(child) = &self.process else {
            return 0.0;
        };
        let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id()));
        let text = text.unwrap_or_default();
        let fields = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks = fields.split(' ').skip(11).take(2);
        ticks
            .filter_map(|text| text.parse::<f64>().ok())
            .sum::<f64>()
            / 100.0
    }

    /// Memory of the process in bytes that no file backs.
    pub fn anonymous_memory(&self) -> u64 {
        let Some(child) = &self.process else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

trait Ended {
    fn is_none_or_ended(self) -> bool;
}

impl Ended for Option<&mut Child> {
    fn is_none_or_ended(self) -> bool {
        self.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// Size of the folder in bytes, every file counted in whole 512 bytes.
pub fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return 0;
    };
    let sizes = entries.flatten().filter_map(|entry| entry.metadata().ok());
    sizes
        .filter(|metadata| metadata.is_file())
        .map(|metadata| metadata.len().div_ceil(512) * 512)
        .sum()
}
