//! Handing over to the next process: a lock that says who owns the messages, and a local socket in the lasting
//! folder over which the old process hands over what it holds.
//!
//! Only the holder of the lock writes the journal and starts calls. The old process gives the lock up before it
//! hands over, and waits for [`Frame::Owns`]; if the link breaks before that, it takes the lock back if it can.

use super::calls::Item;
use super::events::{DriverInput, HandoverMessage};
use hyper::header::HeaderValue;
use message_sender::wire::Names;
use message_sender::{Micros, Outcome, Sender};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::fd::{BorrowedFd, RawFd};
use std::path::Path;
use std::time::Duration;
use thiserror::Error;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// What the two processes say to each other, the state of the module included. To be raised with every change
/// of [`Frame`], of what it holds, or of anything that the module keeps.
const VERSION: u32 = 10;
/// Asks the old process to leave the journal and go, handing over nothing else.
const JOURNAL_ALONE: u32 = 0;
const LOCK: &str = "lock";
const SOCKET: &str = "upgrade.sock";
/// A longer frame is damage.
const LONGEST: usize = 64 << 20;
/// Longest time for the first word of one who connects, for the hand-over, and between two tries at it.
const WORD_TIME: Duration = Duration::from_millis(500);
const HAND_TIME: Duration = Duration::from_millis(1000);
const AGAIN: Duration = Duration::from_millis(20);
/// A lock that fails for so long is not to be had.
const LOCK_TIME: Duration = Duration::from_secs(1);
/// Between two tries to listen for a next process.
const BIND_AGAIN: Duration = Duration::from_secs(1);

/// Why the link does not serve.
#[derive(Debug, Error)]
pub enum LinkError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("can't be read: {0}")]
    Unreadable(#[from] postcard::Error),
    #[error("another word was due")]
    Unexpected,
    #[error("no word in time")]
    Time,
}

/// What goes over the link.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The new process's first word; stays the first variant for ever.
    Ask { version: u32 },
    /// All that the old one holds; it has given up the lock.
    Hand(Box<Handover>),
    /// The new one has the lock and the journal: from here on it alone owns the messages.
    Owns,
    /// Whatever the two say to each other from then on.
    Said(HandoverMessage),
}

/// What the driver holds, and the module.
#[derive(Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The module, encoded.
    pub sender: Vec<u8>,
    pub names: Names,
    pub routes: Vec<HandedRoute>,
    pub next_endpoint: u32,
    pub messages: Vec<HandedMessage>,
    pub next_message: u64,
    pub out: Vec<HandedCall>,
    pub next_call: u64,
    pub delivered: Vec<String>,
    pub list_version: u64,
    pub alarm: Option<Micros>,
    /// Clients' connections that the old process holds.
    pub clients: usize,
}

/// Where an endpoint is.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedRoute {
    pub endpoint: u32,
    pub uid: String,
    pub address: Option<std::net::SocketAddr>,
    pub kind: usize,
    pub destination: u64,
    pub listed: bool,
    pub up: bool,
    pub zone: String,
    pub weight: f64,
}

/// A call that is out.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedCall {
    pub number: u64,
    /// The message and attempt of each position.
    pub items: Vec<(u64, usize)>,
    /// Positions that have not ended.
    pub left: usize,
}

/// A message with its attempts.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedMessage {
    pub number: u64,
    pub id: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub open: bool,
    pub clients: usize,
    /// Endpoint, time, call, position in it, whether it is out, and position in the journal.
    pub attempts: Vec<(u32, Micros, u64, usize, bool, Option<usize>)>,
}

/// The text of an id or key, which is visible ASCII.
pub fn text(value: &HeaderValue) -> String {
    value.to_str().map(str::to_string).unwrap_or_default()
}

impl HandedMessage {
    /// The message as calls carry it; none if it can't be one.
    pub fn item(&self) -> Option<Item> {
        let key = self
            .key
            .as_deref()
            .map(HeaderValue::from_str)
            .transpose()
            .ok()?;
        Some(Item {
            id: HeaderValue::from_str(&self.id).ok()?,
            key,
            body: self.body.clone().into(),
        })
    }
}

/// The exclusive lock on the lasting folder.
#[derive(Debug)]
pub struct Lock(File);

impl Lock {
    /// Opens it and does not take it.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(LOCK))?;
        Ok(Lock(file))
    }

    /// False if another process holds it.
    pub fn try_take(&self) -> io::Result<bool> {
        match self.0.try_lock() {
            Ok(()) => Ok(true),
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Gives it up.
    pub fn give_up(&self) -> io::Result<()> {
        self.0.unlock()
    }
}

/// The link between two processes.
#[derive(Debug)]
pub struct Link {
    reader: OwnedReadHalf,
    pub writer: Writer,
}

/// The end of the link that is written to.
#[derive(Debug)]
pub struct Writer(OwnedWriteHalf);

impl Writer {
    /// Says a word.
    pub async fn say(&mut self, word: HandoverMessage) -> Result<(), LinkError> {
        self.send(&Frame::Said(word)).await
    }

    /// Writes a frame, whole.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let payload = postcard::to_allocvec(frame)?;
        let length = u32::try_from(payload.len()).map_err(|_| LinkError::Unexpected)?;
        self.write_all(&length.to_le_bytes()).await?;
        Ok(self.write_all(&payload).await?)
    }

    /// Writes all bytes; waits only when the system says that it would block, see [`super::stream`].
    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.0.writable().await?;
            match self.0.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if is_to_be_tried_again(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

fn is_to_be_tried_again(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Fills the room; waits only when the system says that it would block, see [`super::stream`].
async fn read_exact(reader: &OwnedReadHalf, room: &mut [u8]) -> io::Result<()> {
    let mut filled = 0;
    while filled < room.len() {
        reader.readable().await?;
        match reader.try_read(&mut room[filled..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => filled += read,
            Err(error) if is_to_be_tried_again(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        Link {
            reader,
            writer: Writer(writer),
        }
    }

    async fn receive(&mut self) -> Result<Frame, LinkError> {
        read_frame(&self.reader).await
    }

    /// The old process's part: hands over, and waits until the new one owns all.
    pub async fn hand(&mut self, handover: Handover) -> Result<(), LinkError> {
        let exchange = async {
            self.writer.send(&Frame::Hand(Box::new(handover))).await?;
            match self.receive().await? {
                Frame::Owns => Ok(()),
                _ => Err(LinkError::Unexpected),
            }
        };
        timeout(HAND_TIME, exchange)
            .await
            .map_err(|_| LinkError::Time)?
    }

    /// Has all that comes handed to the driver, and the end of the link too; the rest is for writing.
    pub fn listen(self, inputs: mpsc::UnboundedSender<DriverInput>) -> Writer {
        let Link { reader, writer } = self;
        tokio::task::spawn_local(async move {
            while let Ok(frame) = read_frame(&reader).await {
                let Frame::Said(word) = frame else { continue };
                if inputs.send(DriverInput::Handover(word)).is_err() {
                    return;
                }
            }
            let _ = inputs.send(DriverInput::HandoverLinkLost);
        });
        writer
    }
}

async fn read_frame(reader: &OwnedReadHalf) -> Result<Frame, LinkError> {
    let mut length = [0; 4];
    read_exact(reader, &mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > LONGEST {
        return Err(LinkError::Unexpected);
    }
    let mut payload = vec![0; length];
    read_exact(reader, &mut payload).await?;
    Ok(postcard::from_bytes(&payload)?)
}

/// What was handed over.
pub struct Taken {
    pub sender: Box<Sender>,
    pub handover: Handover,
    pub link: Link,
}

/// What the new process takes over: what was handed to it, or nothing where no process holds the lock.
pub async fn take_over(lock: &Lock, folder: &Path) -> Option<Taken> {
    let mut version = VERSION;
    let mut told = String::new();
    let begun = Instant::now();
    loop {
        match lock.try_take() {
            Ok(true) => return None,
            Ok(false) => {}
            Err(_) if begun.elapsed() < LOCK_TIME => {
                sleep(AGAIN).await;
                continue;
            }
            Err(error) => {
                // where nothing can be locked nobody hands over either, and a start does not wait for it
                super::log(format_args!("upgrade: off, no lock to be had: {error}"));
                return None;
            }
        }
        match ask(folder, version).await {
            Ok(handed) if lock.try_take().unwrap_or(false) => return Some(handed),
            Ok(_) => {}
            Err(error) => {
                if matches!(error, LinkError::Unreadable(_)) {
                    version = JOURNAL_ALONE;
                }
                let error = error.to_string();
                if error != told {
                    super::log(format_args!(
                        "upgrade: the old process does not hand over: {error}"
                    ));
                    told = error;
                }
            }
        }
        sleep(AGAIN).await;
    }
}

async fn ask(folder: &Path, version: u32) -> Result<Taken, LinkError> {
    let exchange = async {
        let mut link = Link::new(UnixStream::connect(folder.join(SOCKET)).await?);
        link.writer.send(&Frame::Ask { version }).await?;
        match link.receive().await? {
            Frame::Hand(mut handover) => {
                let sender = Box::new(postcard::from_bytes(&std::mem::take(&mut handover.sender))?);
                Ok(Taken {
                    sender,
                    handover: *handover,
                    link,
                })
            }
            _ => Err(LinkError::Unexpected),
        }
    };
    timeout(HAND_TIME, exchange)
        .await
        .map_err(|_| LinkError::Time)?
}

/// What one who asks wants.
#[derive(Debug)]
pub enum Successor {
    /// It reads what this process hands over.
    Heir(Link),
    /// It speaks another version: the journal must do.
    Stranger,
}

/// Waits for a next process, for ever; only the holder of the lock may.
pub async fn wait_for_successor(folder: std::path::PathBuf, successors: mpsc::Sender<Successor>) {
    let path = folder.join(SOCKET);
    let _ = fs::remove_file(&path);
    let mut told = false;
    let listener = loop {
        match UnixListener::bind(&path) {
            Ok(listener) => break listener,
            Err(error) => {
                if !std::mem::replace(&mut told, true) {
                    super::log(format_args!("upgrade: off, no socket to be had: {error}"));
                }
                sleep(BIND_AGAIN).await;
            }
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(AGAIN).await;
            continue;
        };
        let mut link = Link::new(stream);
        let successor = match timeout(WORD_TIME, link.receive()).await {
            Ok(Ok(Frame::Ask { version: VERSION })) => Successor::Heir(link),
            Ok(Ok(Frame::Ask { .. })) => Successor::Stranger,
            _ => continue,
        };
        if successors.send(successor).await.is_err() {
            return;
        }
    }
}

/// The outcome of calls that were out when the process that made them was lost: they may have run.
pub const LOST: Outcome = Outcome::Reset;

/// The socket that clients connect to: the one that the platform passed, or one bound here.
pub async fn listener(
    passed: Option<RawFd>,
    address: std::net::SocketAddr,
) -> Result<TcpListener, io::Error> {
    if let Some(descriptor) = passed {
        let taken = inherit(descriptor).and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        });
        match taken {
            Ok(listener) => return Ok(listener),
            Err(error) => super::log(format_args!(
                "passed socket {descriptor}: off, one is bound here: {error}"
            )),
        }
    }
    super::startup::listen(address).await
}

/// A copy of the listening socket that every process inherits under this number.
#[allow(unsafe_code)]
fn inherit(descriptor: RawFd) -> io::Result<std::net::TcpListener> {
    // SAFETY: the number is the platform's promise that the descriptor is open for the whole life of the process;
    // nothing here closes it, since only a copy is kept. A number that is not open makes the copy fail.
    let passed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let listener = std::net::TcpListener::from(passed.try_clone_to_owned()?);
    listener.local_addr()?; // not a socket: an error now, not at the first client
    Ok(listener)
}

/// Ends the task when the process has handed over.
pub async fn until_handed<F: Future>(mut handed: watch::Receiver<bool>, task: F) {
    tokio::select! {
        _ = task => {}
        _ = handed.wait_for(|handed| *handed) => {}
    }
}

#[cfg(test)]
mod tests;
