//! Parses endpoint lists from a stream of JSON values, each on one line or indented, with a bounded buffer.

use crate::net::events::{ListUpdate, ListedEndpoint};
use message_sender::EndpointStatus;
use serde::Deserialize;
use serde_json::{Deserializer, Value};

/// Maximum size of an incomplete JSON value in bytes. A longer one is dropped as unreadable.
const MAX_VALUE_BYTES: usize = 4 << 20;
/// An incomplete value is parsed again only after it has grown by 1/64 of its size, or when a piece ends with `}`. Parsing
/// it again for each piece would take time quadratic in its length.
const MIN_GROWTH_DIVISOR: usize = 64;

/// Endpoint list in the JSON form of discovery.
#[derive(Deserialize)]
struct Line {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

/// Entry of an endpoint list in the JSON form of discovery.
#[derive(Deserialize)]
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
/// logged and left out.
pub fn parse_list(value: &Value) -> Option<ListUpdate> {
    let line = Line::deserialize(value).ok()?;
    let read = |value: &Value| {
        let target = Target::deserialize(value).map_err(|error| error.to_string())?;
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
    };
    let targets = line.targets.iter().filter_map(|value| match read(value) {
        Ok(listed) => Some(listed),
        Err(error) => {
            crate::net::log(format_args!("discovery: entry skipped: {error}"));
            None
        }
    });
    Some(ListUpdate {
        version: line.rev,
        full: line.all,
        entries: targets.collect(),
    })
}

/// Incremental parser of the lists that one watch sends.
#[derive(Debug, Default)]
pub struct ListReader {
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
    /// First 80 bytes of the first text that could not be parsed.
    pub unreadable: Option<String>,
}

impl ListReader {
    /// Appends `bytes` to the buffer and parses all complete values.
    pub fn read(&mut self, bytes: &[u8]) -> ReadResult {
        let mut read = ReadResult::default();
        self.buffer.extend_from_slice(bytes);
        let ends = bytes.trim_ascii_end().ends_with(b"}");
        if !ends
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
            let (used, problem) = self.values(&mut read);
            self.buffer.drain(..used);
            self.parsed_len = self.buffer.len();
            if !problem && self.buffer.len() <= MAX_VALUE_BYTES {
                break;
            }
            let start = self.buffer[..self.buffer.len().min(80)].trim_ascii();
            read.unreadable
                .get_or_insert_with(|| String::from_utf8_lossy(start).into_owned());
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
    fn values(&self, read: &mut ReadResult) -> (usize, bool) {
        let mut values = Deserializer::from_slice(&self.buffer).into_iter::<Value>();
        let mut used = 0;
        loop {
            match values.next() {
                None => return (self.buffer.len(), false),
                Some(Ok(value)) => {
                    used = values.byte_offset();
                    read.lists.push(parse_list(&value));
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

    fn list(version: u64, uid: &str) -> Value {
        let target = json!({ "uid": uid, "endpoint": "10.1.0.18:8000", "az": "a}{", "pod_group": 3, "state": "up" });
        json!({ "rev": version, "all": true, "targets": [target] })
    }

    fn versions(pieces: &[&[u8]]) -> Vec<Option<u64>> {
        let mut reader = ListReader::default();
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
            let mut reader = ListReader::default();
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
        let mut reader = ListReader::default();
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
        let mut reader = ListReader::default();
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
