//! Parses endpoint lists from a stream of JSON values, each on one line or indented, with a bounded buffer.

use crate::net::events::{ListUpdate, ListedEndpoint};
use message_sender::EndpointStatus;
use serde::de::{self, Deserialize, SeqAccess, Visitor};
use serde_json::value::RawValue;
use serde_json::{Deserializer, Value};
use std::fmt;

/// An incomplete value is parsed again only after it has grown by 1/64 of its size, or when a piece ends with `}`. Parsing
/// it again for each piece would take time quadratic in its length.
const MIN_GROWTH_DIVISOR: usize = 64;

/// Endpoint list in the JSON form of discovery.
#[derive(serde::Deserialize)]
struct ListBody {
    rev: u64,
    all: bool,
    targets: Targets,
}

/// Entries of a list that can be parsed. They are read one at a time, so that a long list takes no more memory than its
/// entries.
struct Targets(Vec<ListedEndpoint>);

impl<'de> Deserialize<'de> for Targets {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TargetsVisitor)
    }
}

struct TargetsVisitor;

impl<'de> Visitor<'de> for TargetsVisitor {
    type Value = Targets;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the entries of an endpoint list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Targets, A::Error> {
        let mut targets = Vec::new();
        let mut skipped = SkippedEntries::default();
        while let Some(entry) = entries.next_element::<Value>()? {
            match read_target(&entry) {
                Ok(target) => targets.push(target),
                Err(error) => skipped.add(error),
            }
        }
        skipped.log();
        Ok(Targets(targets))
    }
}

/// Entries of one list that can't be parsed, for one log line.
#[derive(Default)]
struct SkippedEntries {
    count: usize,
    first_error: Option<String>,
}

impl SkippedEntries {
    fn add(&mut self, error: String) {
        self.count += 1;
        self.first_error.get_or_insert(error);
    }

    fn log(self) {
        let SkippedEntries { count, first_error } = self;
        if let Some(error) = first_error {
            crate::net::log(format_args!(
                "discovery: entry skipped: {error} ({count} in this list)"
            ));
        }
    }
}

/// Entry of an endpoint list in the JSON form of discovery.
#[derive(serde::Deserialize)]
struct Target {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    pod_group: u64,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
}

/// Parses an endpoint list. Returns `None` if `value` does not have the form of a list. Entries that can't be parsed are
/// left out, and the first of them is logged.
pub fn parse_list(value: &Value) -> Option<ListUpdate> {
    ListBody::deserialize(value).ok().map(ListUpdate::from)
}

impl From<ListBody> for ListUpdate {
    fn from(body: ListBody) -> Self {
        ListUpdate {
            version: body.rev,
            full: body.all,
            entries: body.targets.0,
        }
    }
}

fn read_target(entry: &Value) -> Result<ListedEndpoint, String> {
    let target = Target::deserialize(entry).map_err(|error| error.to_string())?;
    let status = match target.state.as_str() {
        "up" => EndpointStatus::Serving,
        "draining" => EndpointStatus::Draining,
        "removed" => EndpointStatus::Removed,
        other => return Err(format!("unknown state '{other}'")),
    };
    let address = target
        .endpoint
        .parse()
        .map_err(|_| format!("invalid address '{}'", target.endpoint))?;
    Ok(ListedEndpoint {
        uid: target.uid,
        address,
        zone: target.az,
        kind: target.model,
        destination: target.pod_group,
        status,
        weight: target.capacity_hint,
    })
}

/// Incremental parser of the lists that one watch sends.
#[derive(Debug)]
pub struct ListReader {
    /// Maximum size of an incomplete JSON value in bytes. A longer one is dropped as unreadable.
    max_value_bytes: usize,
    /// Received bytes that have not been parsed as a complete value.
    buffer: Vec<u8>,
    /// Length of the buffer in bytes when it was last parsed without finding a complete value.
    parsed_len: usize,
    /// True after unreadable text: all bytes are dropped up to the next line that begins with `{`.
    skipping: bool,
}

/// Result of parsing some received bytes.
#[derive(Debug, Default)]
pub struct ReadResult {
    /// Lists in the order received; `None` stands for a JSON value that is not a list.
    pub lists: Vec<Option<ListUpdate>>,
    /// Up to 80 bytes of the beginning of the first text that could not be parsed.
    pub unreadable: Option<String>,
}

impl ListReader {
    /// Creates a parser that holds at most `max_value_bytes` of an incomplete list.
    pub fn new(max_value_bytes: usize) -> Self {
        ListReader {
            max_value_bytes,
            buffer: Vec::new(),
            parsed_len: 0,
            skipping: false,
        }
    }

    /// Appends `bytes` to the buffer and parses all complete values.
    pub fn read(&mut self, bytes: &[u8]) -> ReadResult {
        let mut read = ReadResult::default();
        self.buffer.extend_from_slice(bytes);
        let ends_with_brace = bytes.trim_ascii_end().ends_with(b"}");
        if !ends_with_brace
            && !self.skipping
            && self.parsed_len > 0
            && self.buffer.len() - self.parsed_len < self.parsed_len / MIN_GROWTH_DIVISOR
        {
            return read;
        }
        loop {
            if self.skipping && !self.skip_to_object_line() {
                break;
            }
            let (used, problem) = self.parse_values(&mut read);
            self.buffer.drain(..used);
            self.parsed_len = self.buffer.len();
            if !problem && self.buffer.len() <= self.max_value_bytes {
                break;
            }
            let excerpt = self.buffer[..self.buffer.len().min(80)].trim_ascii();
            read.unreadable
                .get_or_insert_with(|| String::from_utf8_lossy(excerpt).into_owned());
            self.skipping = true;
        }
        read
    }

    /// Returns true if no part of an incomplete value has been received.
    pub fn is_at_value_boundary(&self) -> bool {
        self.buffer.is_empty() && !self.skipping
    }

    /// Parses the complete values in the buffer into `read`. Returns how many bytes they took, and whether the text after
    /// them is invalid rather than incomplete.
    fn parse_values(&self, read: &mut ReadResult) -> (usize, bool) {
        let mut values = Deserializer::from_slice(&self.buffer).into_iter::<&RawValue>();
        let mut used = 0;
        loop {
            match values.next() {
                None => return (self.buffer.len(), false),
                Some(Ok(value)) => {
                    used = values.byte_offset();
                    let list = serde_json::from_str::<ListBody>(value.get());
                    read.lists.push(list.ok().map(ListUpdate::from));
                }
                Some(Err(error)) => return (used, !error.is_eof()),
            }
        }
    }

    /// Drops the bytes before the next line that begins with `{`. Returns false if there is no such line yet; then the
    /// last byte is kept, because it may be the line break before an object.
    fn skip_to_object_line(&mut self) -> bool {
        let line = self.buffer.windows(2).position(|two| two == b"\n{");
        let drop = line.map_or(self.buffer.len().saturating_sub(1), |at| at + 1);
        self.buffer.drain(..drop);
        self.parsed_len = 0;
        self.skipping = line.is_none();
        line.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    const MAX_VALUE_BYTES: usize = 4 << 20;

    fn list(version: u64, uid: &str) -> Value {
        let target = json!({ "uid": uid, "endpoint": "10.1.0.18:8000", "az": "a}{", "pod_group": 3, "state": "up" });
        json!({ "rev": version, "all": true, "targets": [target] })
    }

    fn versions(pieces: &[&[u8]]) -> Vec<Option<u64>> {
        let mut reader = ListReader::new(MAX_VALUE_BYTES);
        let lists = pieces.iter().flat_map(|piece| reader.read(piece).lists);
        lists.map(|list| list.map(|list| list.version)).collect()
    }

    #[test]
    fn indented_lists_cut_at_any_byte_are_parsed() {
        let text = format!(
            "\n\n{:#}\n\n{}\n{:#}\n",
            list(1, "s-\"{1"),
            list(2, "s-2"),
            list(3, "s-3")
        )
        .into_bytes();
        for cut in 0..=text.len() {
            let (before, after) = text.split_at(cut);
            assert_eq!(
                versions(&[before, after]),
                [Some(1), Some(2), Some(3)],
                "cut at byte {cut}"
            );
        }
        let bytes: Vec<&[u8]> = text.chunks(1).collect();
        assert_eq!(
            versions(&bytes),
            [Some(1), Some(2), Some(3)],
            "byte by byte"
        );
    }

    #[test]
    fn unreadable_text_is_reported_and_lists_after_it_are_parsed() {
        let text = format!(
            "no list\nnor this\n{:#}\n{{\"rev\":}}\n{}\n[1]\n",
            list(1, "a"),
            list(2, "b")
        );
        for size in [1, 7, 4096] {
            let mut reader = ListReader::new(MAX_VALUE_BYTES);
            let (mut lists, mut unreadable) = (Vec::new(), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                let read = reader.read(piece);
                lists.extend(
                    read.lists
                        .into_iter()
                        .map(|list| list.map(|list| list.version)),
                );
                unreadable.extend(read.unreadable);
            }
            assert_eq!(lists, [Some(1), Some(2), None], "pieces of {size}");
            assert!((1..=3).contains(&unreadable.len()), "{unreadable:?}");
        }
    }

    #[test]
    fn endless_value_is_dropped_and_long_list_is_not_parsed_for_each_piece() {
        let mut reader = ListReader::new(MAX_VALUE_BYTES);
        let piece = vec![b'['; 1 << 16];
        let unreadable = (0..100)
            .filter(|_| reader.read(&piece).unreadable.is_some())
            .count();
        assert!(unreadable >= 1 && reader.buffer.len() <= MAX_VALUE_BYTES + piece.len());
        let read = reader.read(format!("\n{}\n", list(4, "a")).as_bytes());
        assert_eq!(read.lists.len(), 1);
        // 10 000 endpoints in pieces of 1448 bytes, the payload of a TCP segment
        let targets: Vec<Value> = (0..10_000)
            .map(|uid| list(1, &uid.to_string())["targets"][0].clone())
            .collect();
        let text = format!(
            "{:#}\n",
            json!({ "rev": 9, "all": true, "targets": targets })
        )
        .into_bytes();
        let mut reader = ListReader::new(MAX_VALUE_BYTES);
        let mut parses = 0;
        let lists: usize = text
            .chunks(1448)
            .map(|piece| {
                let before = reader.parsed_len;
                let read = reader.read(piece);
                parses += usize::from(reader.parsed_len != before);
                read.lists.len()
            })
            .sum();
        assert_eq!(lists, 1);
        assert!(
            parses < 600,
            "parsed {parses} times in {} pieces",
            text.len() / 1448
        );
    }
}
