//! The thread that turns a replica: its clock, its writes to the disk, and the way to it. Nothing of it runs on the runtime,
//! for every turn may wait for the disk.

use crate::feed::Feed;
pub use crate::inputs::{Asked, Input};
use crate::locks::lock;
use crate::peers::Peers;
use crate::replica::{Answer, Output, Replica, TICK, Ticket};
use crate::state::Place;
use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};
use versioned_config::Micros;

/// Questions and messages that may wait for a turn, and that one turn takes in.
const WAITING: usize = 4096;
const AT_ONCE: usize = 1024;

/// What all may know without asking.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// The list's version.
    pub rev: u64,
    /// Who leads; none: this replica may be behind by any time.
    pub leader: Option<u64>,
    /// Where the replicas are.
    pub places: Arc<BTreeMap<u64, Place>>,
}

/// The way to the thread.
#[derive(Clone)]
pub struct Core {
    inputs: SyncSender<Input>,
    /// The list and its changes.
    pub feed: Arc<Mutex<Feed>>,
    /// What all may know, and word of its changes.
    pub seen: watch::Receiver<Seen>,
}

/// Nobody takes questions: too many wait, or the thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded;

impl Core {
    /// Hands something to the thread.
    ///
    /// # Errors
    /// It has too much to do, or has ended.
    pub fn tell(&self, input: Input) -> Result<(), Overloaded> {
        self.inputs.try_send(input).map_err(|_| Overloaded)
    }

    /// Asks, and waits for the answer.
    ///
    /// # Errors
    /// The thread has too much to do, or has ended.
    pub async fn ask(&self, asked: Asked) -> Result<Answer, Overloaded> {
        let (reply, answer) = oneshot::channel();
        self.tell(Input::Asked(asked, reply))?;
        answer.await.map_err(|_| Overloaded)
    }

    /// Looks at the replica as it stands.
    ///
    /// # Errors
    /// The thread has too much to do, or has ended.
    pub async fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&mut Replica, Micros) -> T + Send + 'static,
    ) -> Result<T, Overloaded> {
        let (reply, answer) = oneshot::channel();
        let look = move |replica: &mut Replica, now| drop(reply.send(look(replica, now)));
        self.tell(Input::Look(Box::new(look)))?;
        answer.await.map_err(|_| Overloaded)
    }
}

struct Turner {
    replica: Replica,
    peers: Peers,
    begin: Instant,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
    next: Ticket,
    feed: Arc<Mutex<Feed>>,
    seen: watch::Sender<Seen>,
    /// Replicas of the settings; what the log says of one comes before it.
    places: BTreeMap<u64, Place>,
    /// What the log said of them when that was last looked at.
    told: Option<BTreeMap<u64, Place>>,
}

/// Starts the thread; it ends when nobody can ask any more, or when the log can't be kept, which `ended` is told.
pub fn start(
    replica: Replica,
    peers: Peers,
    places: BTreeMap<u64, Place>,
    ended: oneshot::Sender<String>,
) -> std::io::Result<Core> {
    let (inputs, received) = sync_channel(WAITING);
    let (seen, seen_by_all) = watch::channel(Seen::default());
    let feed = Arc::new(Mutex::new(Feed::default()));
    let core = Core {
        inputs,
        feed: feed.clone(),
        seen: seen_by_all,
    };
    let own = core.inputs.clone();
    let turner = move || {
        let waiting = HashMap::new();
        let (begin, next, told) = (Instant::now(), 0, None);
        let mut turner = Turner {
            replica,
            peers,
            begin,
            waiting,
            next,
            feed,
            seen,
            places,
            told,
        };
        turner.peers.attach(own);
        turner.reset();
        if let Err(error) = turner.run(&received) {
            tracing::error!(%error, "the log can't be kept");
            let _ = ended.send(error);
        }
    };
    std::thread::Builder::new()
        .name("replica".to_string())
        .spawn(turner)?;
    Ok(core)
}

impl Turner {
    fn now(&self) -> Micros {
        self.begin.elapsed().as_micros() as Micros
    }

    fn run(&mut self, received: &Receiver<Input>) -> Result<(), String> {
        let tick = Duration::from_micros(TICK);
        let mut next = Instant::now() + tick;
        loop {
            let mut output = Output::default();
            match received.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(input) => {
                    self.take(input, &mut output);
                    for input in received.try_iter().take(AT_ONCE) {
                        self.take(input, &mut output);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if Instant::now() >= next {
                let unix = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                self.replica.tell_time(self.now(), unix.as_millis() as u64);
                self.replica.tick(self.now(), &mut output);
                // ticks that a pause swallowed are not made up for: others have seen the time pass
                next = (next + tick).max(Instant::now());
            }
            let now = self.now();
            self.replica
                .settle(now, &mut output)
                .map_err(|error| error.to_string())?;
            self.carry_out(output);
        }
    }

    fn take(&mut self, input: Input, output: &mut Output) {
        let now = self.now();
        match input {
            Input::Peer(message) => self.replica.receive(message),
            Input::Unreachable(id) => self.replica.unreachable(id),
            Input::SnapshotSent(id, sent) => self.replica.snapshot_sent(id, sent),
            Input::Look(look) => look(&mut self.replica, now),
            Input::Asked(asked, reply) => {
                self.next += 1;
                let ticket = self.next;
                self.waiting.insert(ticket, reply);
                match asked {
                    Asked::Change(command) => self.replica.propose(now, ticket, command, output),
                    Asked::Lease(question) => self.replica.ask(ticket, question, output),
                    Asked::Parts(question) => self.replica.ask_parts(ticket, question),
                    Asked::Read => self.replica.read(ticket),
                    Asked::Beat(uid) => output.answers.push((ticket, self.replica.beat(now, &uid))),
                    Asked::Replicas(change) => self.replica.reconfigure(ticket, change, output),
                }
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        self.peers.send(output.messages);
        if output.reset {
            self.reset();
        } else if !output.changes.is_empty() {
            let mut feed = lock(&self.feed);
            output
                .changes
                .iter()
                .for_each(|(rev, changed)| feed.push(*rev, changed));
        }
        self.publish();
        for (ticket, answer) in output.answers {
            if let Some(reply) = self.waiting.remove(&ticket) {
                // one that has gone asks again
                let _ = reply.send(answer);
            }
        }
        for note in output.notes {
            tracing::info!("{note}");
        }
    }

    fn reset(&mut self) {
        let state = self.replica.state();
        lock(&self.feed).reset(state.rev, &state.targets);
    }

    fn publish(&mut self) {
        let state = self.replica.state();
        let (rev, leader) = (state.rev, self.replica.leader());
        let told = &state.replicas;
        let places = if self.told.as_ref() == Some(told) {
            self.seen.borrow().places.clone()
        } else {
            self.told = Some(told.clone());
            Arc::new(
                self.places
                    .iter()
                    .chain(told)
                    .map(|(id, place)| (*id, *place))
                    .collect(),
            )
        };
        let now = Seen {
            rev,
            leader,
            places,
        };
        if *self.seen.borrow() != now {
            self.peers.know(&now.places);
            self.seen.send_replace(now);
        }
    }
}
