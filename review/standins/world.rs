//! What all cases start from: the platform, the endpoints of a few destinations, one sender and one client.

use crate::client::{Client, Handed};
use crate::endpoint::{self, Calls, Reply};
use crate::platform::{Address, Entry, Platform};
use crate::record::Record;
use crate::sender::{Config, Sender};
use crate::Case;
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Destinations that get messages; each has two endpoints.
pub const DESTINATIONS: u64 = 4;

pub struct World {
    pub calls: Calls,
    pub platform: Platform,
    pub discovery: Address,
    pub sender: Sender,
    pub client: Client,
}

/// The entry of endpoint `number` in the list.
pub fn entry(number: u64, address: std::net::SocketAddr) -> Entry {
    Entry {
        uid: format!("s-{number:08x}"),
        address,
        zone: if number % 2 == 0 { "floor-2" } else { "floor-3" }.into(),
        kind: "payment-gateway".into(),
        destination: number / 2,
        state: "up".into(),
        weight: 40.0,
    }
}

/// The message with this number, of a class and for one of the destinations.
pub fn message(number: u64, class: &str, timeout_ms: u64, body: Vec<u8>) -> Handed {
    Handed {
        id: format!("{number:016x}"),
        class: class.into(),
        tenant: "sach-vui".into(),
        subject: None,
        key: None,
        destination: number % DESTINATIONS,
        timeout_ms,
        body,
    }
}

impl World {
    /// Serves the endpoints, which take 40 ms for a call, and the list with these and `unplayed` further entries.
    /// `spoil` may change the first answer to a message, by the number of the message.
    pub fn new(
        case: &Case,
        unplayed: Vec<Entry>,
        spoil: impl Fn(u64) -> Option<Reply> + Send + Sync + 'static,
    ) -> Self {
        let record = &case.record;
        let calls = Calls::default();
        let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
        let spoil = Arc::new(spoil);
        let mut entries = Vec::new();
        for number in 0..2 * DESTINATIONS {
            let (seen, spoil) = (seen.clone(), spoil.clone());
            let reply = move |id: &str| {
                let is_first = seen.lock().unwrap().insert(id.to_string());
                let number = u64::from_str_radix(id, 16).unwrap_or(0);
                let spoilt = if is_first { spoil(number) } else { None };
                spoilt.unwrap_or_else(|| Reply::delivered(Duration::from_millis(40)))
            };
            let name = format!("s-{number:08x}");
            let address = endpoint::serve(&name, "127.0.1.1", calls.clone(), record.clone(), reply);
            entries.push(entry(number, address));
        }
        entries.extend(unplayed);
        let platform = Platform::new(entries, record.clone());
        let discovery = platform.serve("127.0.0.2");
        let sender = Sender::new(&case.root, &case.temporary, record.clone());
        let client = Client::new(sender.listen, record.clone());
        World {
            calls,
            platform,
            discovery,
            sender,
            client,
        }
    }

    /// Writes the configuration and starts the sender; false if it is not ready within 30 s.
    pub fn start(&mut self, config: &Config<'_>) -> bool {
        self.sender.write_config(config);
        self.sender.start(self.discovery.at);
        self.sender.wait_ready(Duration::from_secs(30))
    }

    /// How often each message has run at endpoints.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for call in self.calls.lock().unwrap().iter().filter(|call| call.ran) {
            *runs.entry(call.id.clone()).or_default() += 1;
        }
        runs
    }

    /// Records the messages that have run more than once, and returns how many there are.
    pub fn record_repeats(&self, record: &Record) -> usize {
        let repeated: Vec<(String, usize)> = self.runs().into_iter().filter(|(_, runs)| *runs > 1).collect();
        for (id, runs) in &repeated {
            record.line(format!("{id} has run {runs} times"));
        }
        repeated.len()
    }
}
