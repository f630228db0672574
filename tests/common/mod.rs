//! A host for tests of the decision module: passes scripted events to it, records its actions and expires its timers.
#![allow(dead_code)]

use message_sender::*;

/// Module time in microseconds at which each test starts.
pub const START: Micros = 100 * SECOND;

/// Runs a decision module without sockets, with a module time that only the test advances.
pub struct TestHost {
    pub sender: Sender,
    /// Current module time in microseconds.
    pub now: Micros,
    /// Times of the timers that the decision module has set, in microseconds of module time.
    pub timers: Vec<Micros>,
    /// All sends so far: time, message, endpoint and attempt number, counted from 0 for each message.
    pub sends: Vec<(Micros, u64, u32, usize)>,
    /// All actions so far, with their time.
    pub log: Vec<(Micros, Action)>,
}

/// Returns settings with four classes, whose indexes are [`IDEMPOTENT`] to [`ORDERED`], and three kinds: plain, with
/// separate routes, and with bundles of up to 5 messages.
pub fn settings(slots: usize) -> Settings {
    let mut settings = Settings::new(slots, 1000);
    settings.classes.push(Class::new(
        "free",
        Effect::Idempotent,
        2 * SECOND,
        30 * SECOND,
    ));
    let keyed = Effect::IdempotencyKey {
        window: 6 * SECOND,
        same_zone_only: true,
    };
    settings
        .classes
        .push(Class::new("keyed", keyed, 2 * SECOND, 30 * SECOND));
    settings.classes.push(Class::new(
        "unsafe",
        Effect::NonIdempotent,
        2 * SECOND,
        30 * SECOND,
    ));
    let mut ordered = Class::new("ordered", Effect::Idempotent, 2 * SECOND, 30 * SECOND);
    ordered.ordered = true;
    settings.classes.push(ordered);
    settings.safety.key_backoff = 100 * MILLISECOND;
    settings.kinds.push(Kind {
        name: "one".into(),
        separate_routes: false,
        bundle_max: 1,
    });
    settings.kinds.push(Kind {
        name: "apart".into(),
        separate_routes: true,
        bundle_max: 1,
    });
    settings.kinds.push(Kind {
        name: "bundled".into(),
        separate_routes: false,
        bundle_max: 5,
    });
    settings
}

/// Indexes of the classes of [`settings`].
pub const IDEMPOTENT: usize = 0;
pub const WITH_IDEMPOTENCY_KEY: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;
pub const ORDERED: usize = 3;

pub fn entry(endpoint: u32, destination: u64) -> EndpointEntry {
    EndpointEntry::new(EndpointId(endpoint), destination)
}

pub fn message(id: u64, class: usize, destination: u64) -> Event {
    Event::Accepted(NewMessage::new(
        MessageId(id),
        class,
        destination,
        30 * SECOND,
    ))
}

pub fn ended(
    message: u64,
    attempt: usize,
    endpoint: u32,
    outcome: Outcome,
    latency: Micros,
) -> Event {
    Event::AttemptEnded {
        message: MessageId(message),
        attempt,
        endpoint: EndpointId(endpoint),
        outcome,
        latency,
        complete: outcome == Outcome::Success,
        report: Vec::new(),
    }
}

impl TestHost {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let sender = Sender::new(settings, 11).expect("valid settings");
        let mut host = TestHost {
            sender,
            now: START,
            timers: Vec::new(),
            sends: Vec::new(),
            log: Vec::new(),
        };
        host.handle(vec![Event::EndpointList {
            scope: ListScope::Full,
            entries,
        }]);
        host
    }

    pub fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.handle(self.now, &events, &mut actions);
        for action in &actions {
            self.log.push((self.now, action.clone()));
            match action {
                Action::SetTimer(at) => self.timers.push(*at),
                Action::Send {
                    message, endpoint, ..
                } => {
                    let attempt = self.sends.iter().filter(|send| send.1 == message.0).count();
                    self.sends.push((self.now, message.0, endpoint.0, attempt));
                }
                _ => {}
            }
        }
        actions
    }

    /// Advances the time to `until`, and sends a timer event at each timer that is due on the way.
    pub fn run(&mut self, until: Micros) {
        loop {
            self.timers.sort_unstable();
            match self.timers.first().copied() {
                Some(at) if at <= until => {
                    self.timers.retain(|&other| other > at);
                    self.now = self.now.max(at);
                    self.handle(vec![Event::TimerExpired]);
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// Returns the times of the message's sends, in microseconds after [`START`].
    pub fn sends_of(&self, message: u64) -> Vec<Micros> {
        self.sends
            .iter()
            .filter(|send| send.1 == message)
            .map(|send| send.0 - START)
            .collect()
    }

    /// Returns the endpoint and the attempt number of the message's last send.
    pub fn last_send(&self, message: u64) -> (u32, usize) {
        let send = self
            .sends
            .iter()
            .rev()
            .find(|send| send.1 == message)
            .expect("message was sent");
        (send.2, send.3)
    }

    /// Ends the latest attempt of the message with an outcome, and returns the resulting actions.
    pub fn end(&mut self, message: u64, outcome: Outcome, latency: Micros) -> Vec<Action> {
        let (endpoint, attempt) = self.last_send(message);
        self.handle(vec![ended(message, attempt, endpoint, outcome, latency)])
    }

    /// Returns the number of actions so far that match.
    pub fn count(&self, matches: impl Fn(&Action) -> bool) -> usize {
        self.log
            .iter()
            .filter(|(_, action)| matches(action))
            .count()
    }

    pub fn failed(&self, message: u64) -> bool {
        self.count(|action| *action == Action::Fail(MessageId(message))) == 1
    }

    pub fn rejected(&self, message: u64) -> bool {
        self.count(|a| matches!(a, Action::Reject { message: m, .. } if m.0 == message)) == 1
    }

    pub fn cancels(&self, message: u64) -> usize {
        self.count(|a| matches!(a, Action::Cancel { message: m, .. } if m.0 == message))
    }
}
