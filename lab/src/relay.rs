//! Carries bytes and datagrams between parties as the links allow. A reader that does not read holds up its own
//! connection alone, with no more memory than [`AHEAD`] pieces.

use crate::answers::{AnswerTrack, Ending, Passage};
use crate::history::{Event, History};
use crate::links::Links;
use crate::locking::lock;
use crate::schedule::Party;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes read at once, and pieces that may wait to be written on.
const PIECE: usize = 16 * 1024;
const AHEAD: usize = 16;
/// Longest datagram that is carried.
const DATAGRAM: usize = 64 * 1024;
/// Datagrams on their way over one sender's links; more are lost, as in a router.
const ON_THE_WAY: usize = 4096;

/// The links, and word of each change of them.
#[derive(Debug)]
pub struct Net {
    links: Mutex<Links>,
    changed: watch::Sender<u64>,
    resets: Mutex<Vec<Reset>>,
    pub history: Arc<History>,
}

/// Connections between two groups that are reset, by the number of the change.
#[derive(Debug)]
struct Reset {
    number: u64,
    from: Vec<Party>,
    to: Vec<Party>,
}

impl Net {
    pub fn new(seed: u64, history: Arc<History>) -> Arc<Self> {
        let links = Mutex::new(Links::new(seed));
        Arc::new(Net {
            links,
            changed: watch::channel(0).0,
            resets: Mutex::default(),
            history,
        })
    }

    /// Changes the links.
    pub fn change(&self, change: impl FnOnce(&mut Links)) {
        change(&mut lock(&self.links));
        self.changed.send_modify(|number| *number += 1);
    }

    /// Resets the connections between the two that are open now.
    pub fn reset(&self, from: Vec<Party>, to: Vec<Party>) {
        let number = *self.changed.borrow() + 1;
        lock(&self.resets).push(Reset { number, from, to });
        self.changed.send_modify(|number| *number += 1);
    }

    fn is_reset(&self, since: u64, one: Party, other: Party) -> bool {
        lock(&self.resets).iter().any(|Reset { number, from, to }| {
            *number > since
                && (from.contains(&one) && to.contains(&other)
                    || from.contains(&other) && to.contains(&one))
        })
    }

    /// Listens at an address, and carries what comes from one party on to the other, which is found at `target`.
    ///
    /// # Errors
    /// The address is not to be had.
    pub async fn forward(
        self: &Arc<Self>,
        at: SocketAddr,
        from: Party,
        to: Party,
        target: SocketAddr,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        let net = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(10)).await; // no descriptor is free just now
                    continue;
                };
                let net = net.clone();
                if let Party::Sender(sender) = from {
                    net.history.record(Event::RegistryDialled { sender });
                }
                tokio::spawn(async move {
                    // one that is not there refuses, as far as the dialler can tell
                    let Ok(mut inside) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = inside.set_nodelay(true);
                    let mut near = net.connect(stream, from, to);
                    let _ = tokio::io::copy_bidirectional(&mut near, &mut inside).await;
                });
            }
        });
        Ok(())
    }

    /// The other end of a connection between two parties, which passes what the links let pass. It ends when
    /// either side does or when it is reset.
    pub fn connect(
        self: &Arc<Self>,
        stream: TcpStream,
        outside: Party,
        inside: Party,
    ) -> DuplexStream {
        self.connect_tracked(stream, outside, inside, Arc::default())
    }

    /// The same for a connection on which answers go wrong.
    pub fn connect_tracked(
        self: &Arc<Self>,
        stream: TcpStream,
        outside: Party,
        inside: Party,
        answers: Arc<AnswerTrack>,
    ) -> DuplexStream {
        // without it pieces wait for one another, and only that
        let _ = stream.set_nodelay(true);
        let (near, far) = tokio::io::duplex(PIECE);
        let net = self.clone();
        tokio::spawn(async move {
            let since = *net.changed.borrow();
            let mut changes = net.changed.subscribe();
            let reset = async {
                while !net.is_reset(since, outside, inside) {
                    if changes.changed().await.is_err() {
                        return std::future::pending().await;
                    }
                }
            };
            let (mut stream, mut far) = (stream, far);
            let ending = {
                let (read, write) = stream.split();
                let (far_read, far_write) = tokio::io::split(&mut far);
                let requests = async {
                    net.carry(read, far_write, outside, inside, None).await;
                    answers.abandon();
                };
                let written = net.carry(far_read, write, inside, outside, Some(&answers));
                let both = async {
                    tokio::pin!(requests, written);
                    tokio::select! {
                        broken = &mut written => match broken {
                            Some(ending) => return ending,
                            None => requests.await,
                        },
                        () = &mut requests => return written.await.unwrap_or(Ending::Close),
                    }
                    Ending::Close
                };
                tokio::select! {
                    () = reset => Ending::Reset,
                    ending = both => ending,
                }
            };
            if ending == Ending::Reset {
                // its peer is told by a reset, not by an end
                let _ = stream.set_zero_linger();
            }
        });
        near
    }

    /// Carries one direction until its end, which is passed on, or until an answer breaks off: how the connection ends then.
    async fn carry(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        sender: Party,
        receiver: Party,
        answers: Option<&AnswerTrack>,
    ) -> Option<Ending> {
        let (ahead, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(AHEAD);
        let read = async move {
            loop {
                let mut piece = vec![0; PIECE];
                let Ok(length @ 1..) = from.read(&mut piece).await else {
                    return;
                };
                piece.truncate(length);
                let delay = lock(&self.links)
                    .pass(sender, receiver)
                    .copies
                    .first()
                    .copied();
                let due = Instant::now() + Duration::from_micros(delay.unwrap_or(0));
                if ahead.send((due, piece)).await.is_err() {
                    return;
                }
            }
        };
        let write = async move {
            while let Some((due, piece)) = waiting.recv().await {
                sleep_until(due).await;
                self.uncut(sender, receiver).await;
                let passage = match answers {
                    Some(answers) => answers.pass(piece),
                    None => Passage::unchanged(piece),
                };
                if write_passage(&mut to, &passage, answers).await.is_err() {
                    return None;
                }
                if let Some(ending @ (Ending::Close | Ending::Reset)) = passage.ending {
                    return Some(ending);
                }
            }
            self.uncut(sender, receiver).await;
            // one that has gone needs no end
            let _ = to.shutdown().await;
            None
        };
        tokio::select! {
            ending = write => ending,
            // the writer goes on until it has written all that was read
            ending = async { read.await; std::future::pending().await } => ending,
        }
    }

    /// Until something may pass: what a cut holds up comes when it heals, as over a real connection.
    pub async fn uncut(&self, from: Party, to: Party) {
        let mut changes = self.changed.subscribe();
        while lock(&self.links).cut(from, to) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn write_passage(
    to: &mut (impl AsyncWrite + Unpin),
    passage: &Passage,
    answers: Option<&AnswerTrack>,
) -> io::Result<()> {
    let (Some(interval), Some(answers)) = (passage.interval, answers) else {
        return to.write_all(&passage.bytes).await;
    };
    let last = passage.bytes.len().saturating_sub(1);
    for (index, byte) in passage.bytes.iter().enumerate() {
        answers.record(&[*byte], index == last);
        to.write_all(&[*byte]).await?;
        sleep(interval).await;
    }
    Ok(())
}

/// The membership socket of one sender.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSocket {
    /// The lab's address, by which the others know it.
    pub advertised: SocketAddr,
    /// Where it listens.
    pub own: SocketAddr,
}

/// The lab's socket that stands for one sender's, and where that listens.
#[derive(Debug)]
struct RelaySocket {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
}

/// Where the senders' datagrams go: each is known to the others by an address that the lab holds.
#[derive(Debug)]
pub struct DatagramRelay {
    net: Arc<Net>,
    /// By sender.
    sockets: Vec<RelaySocket>,
    by_address: HashMap<SocketAddr, usize>,
    on_the_way: Arc<tokio::sync::Semaphore>,
}

impl DatagramRelay {
    /// Carries for senders that listen at these addresses.
    ///
    /// # Errors
    /// A socket could not be had.
    pub async fn start(net: Arc<Net>, membership: &[MembershipSocket]) -> io::Result<()> {
        let mut sockets = Vec::new();
        let mut by_address = HashMap::new();
        for (sender, socket) in membership.iter().enumerate() {
            sockets.push(RelaySocket {
                socket: Arc::new(UdpSocket::bind(socket.advertised).await?),
                target: socket.own,
            });
            by_address.insert(socket.own, sender);
        }
        let on_the_way = Arc::new(tokio::sync::Semaphore::new(ON_THE_WAY));
        let all = Arc::new(DatagramRelay {
            net,
            sockets,
            by_address,
            on_the_way,
        });
        for to in 0..all.sockets.len() {
            tokio::spawn(all.clone().carry(to));
        }
        Ok(())
    }

    async fn carry(self: Arc<Self>, to: usize) {
        let mut datagram = vec![0; DATAGRAM];
        loop {
            // a peer that is gone shows as an error of the next call, which is no reason to stop
            let Ok((length, source)) = self.sockets[to].socket.recv_from(&mut datagram).await
            else {
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            let Some(&from) = self.by_address.get(&source) else {
                continue;
            };
            let (sender, receiver) = (Party::Sender(from), Party::Sender(to));
            let passage = lock(&self.net.links).pass(sender, receiver);
            self.net
                .history
                .count_datagram(length, passage.copies.len());
            for delay in passage.copies {
                let socket = self.sockets[from].socket.clone();
                let address = self.sockets[to].target;
                if delay == 0 {
                    let _ = socket.try_send_to(&datagram[..length], address);
                    continue;
                }
                let Ok(place) = self.on_the_way.clone().try_acquire_owned() else {
                    continue;
                };
                let piece = datagram[..length].to_vec();
                tokio::spawn(async move {
                    sleep(Duration::from_micros(delay)).await;
                    let _ = socket.send_to(&piece, address).await;
                    drop(place);
                });
            }
        }
    }
}

/// Watches its own lateness: how much later than asked a short sleep ends.
pub async fn watch_lateness(history: Arc<History>) {
    const EVERY: Duration = Duration::from_millis(20);
    loop {
        let due = Instant::now() + EVERY;
        sleep_until(due).await;
        let late = due.elapsed();
        history.note_lateness(late);
        if late > Duration::from_millis(100) {
            history.record(Event::LabLate {
                ms: late.as_millis() as u64,
            });
        }
    }
}
