//! Lists from bytes: a stream of JSON values, on one line each or indented, over a bounded buffer.

use crate::net::events::{ListUpdate, ListedEndpoint};
use message_sender::EndpointStatus;
use serde::Deserialize;
use serde_json::{Deserializer, Value};

/// A longer value is not kept.
const LONGEST: usize = 4 << 20;
/// A value that is not whole yet is looked at again once it has grown by such a part, or has an end in sight: looking
/// at each piece anew would take the square of its length.
const GROWN: usize = 64;

#[derive(Deserialize)]
struct Line {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

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

/// Reads a list; none if it has not the form of one. Entries that can't be read are logged and left out.
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
            .map_err(|_| format!("bad address '{}'", target.endpoint))?;
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

/// What a watch has sent so far and nobody has read yet.
#[derive(Debug, Default)]
pub struct Reading {
    buffer: Vec<u8>,
    /// Bytes that were looked at without finding a whole value.
    looked: usize,
    /// What came is dropped until a line begins with an object.
    lost: bool,
}

/// What came of some bytes.
#[derive(Debug, Default)]
pub struct Read {
    /// Lists, in order; none: a value that is no list.
    pub lists: Vec<Option<ListUpdate>>,
    /// The beginning of what could not be read.
    pub unreadable: Option<String>,
}

impl Reading {
    /// Takes further bytes in.
    pub fn take(&mut self, bytes: &[u8]) -> Read {
        let mut read = Read::default();
        self.buffer.extend_from_slice(bytes);
        let ends = bytes.trim_ascii_end().ends_with(b"}");
        if !ends
            && !self.lost
            && self.looked > 0
            && self.buffer.len() - self.looked < self.looked / GROWN
        {
            return read;
        }
        loop {
            if self.lost && !self.find_line() {
                break;
            }
            let (used, problem) = self.values(&mut read);
            self.buffer.drain(..used);
            self.looked = self.buffer.len();
            if !problem && self.buffer.len() <= LONGEST {
                break;
            }
            let start = self.buffer[..self.buffer.len().min(80)].trim_ascii();
            read.unreadable
                .get_or_insert_with(|| String::from_utf8_lossy(start).into_owned());
            self.lost = true;
        }
        read
    }

    /// Whether nothing of a value has come that is not whole yet.
    pub fn is_between(&self) -> bool {
        self.buffer.is_empty() && !self.lost
    }

    /// Reads whole values; how many bytes they took, and whether what follows can't be read.
    fn values(&self, read: &mut Read) -> (usize, bool) {
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

    /// Drops all up to the next line that begins with an object, but the last bytes where there is none.
    fn find_line(&mut self) -> bool {
        let line = self.buffer.windows(2).position(|two| two == b"\n{");
        let drop = line.map_or(self.buffer.len().saturating_sub(1), |at| at + 1);
        self.buffer.drain(..drop);
        self.looked = 0;
        self.lost = line.is_none();
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
        let mut reading = Reading::default();
        let lists = pieces.iter().flat_map(|piece| reading.take(piece).lists);
        lists.map(|list| list.map(|list| list.version)).collect()
    }

    #[test]
    fn an_indented_list_is_read_wherever_it_is_cut() {
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
    fn what_cannot_be_read_is_told_once_and_what_follows_is_read() {
        let text = format!(
            "no list\nnor this\n{:#}\n{{\"rev\":}}\n{}\n[1]\n",
            list(1, "a"),
            list(2, "b")
        );
        for size in [1, 7, 4096] {
            let mut reading = Reading::default();
            let (mut lists, mut told) = (Vec::new(), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                let read = reading.take(piece);
                lists.extend(
                    read.lists
                        .into_iter()
                        .map(|list| list.map(|list| list.version)),
                );
                told.extend(read.unreadable);
            }
            assert_eq!(lists, [Some(1), Some(2), None], "pieces of {size}");
            assert!((1..=3).contains(&told.len()), "{told:?}");
        }
    }

    #[test]
    fn a_value_without_end_is_given_up_and_a_long_list_costs_no_square() {
        let mut reading = Reading::default();
        let piece = vec![b'['; 1 << 16];
        let told = (0..100)
            .filter(|_| reading.take(&piece).unreadable.is_some())
            .count();
        assert!(told >= 1 && reading.buffer.len() <= LONGEST + piece.len());
        let read = reading.take(format!("\n{}\n", list(4, "a")).as_bytes());
        assert_eq!(read.lists.len(), 1);
        // ten thousand endpoints, in pieces of a segment
        let targets: Vec<Value> = (0..10_000)
            .map(|uid| list(1, &uid.to_string())["targets"][0].clone())
            .collect();
        let text = format!(
            "{:#}\n",
            json!({ "rev": 9, "all": true, "targets": targets })
        )
        .into_bytes();
        let mut reading = Reading::default();
        let mut looks = 0;
        let lists: usize = text
            .chunks(1448)
            .map(|piece| {
                let before = reading.looked;
                let read = reading.take(piece);
                looks += usize::from(reading.looked != before);
                read.lists.len()
            })
            .sum();
        assert_eq!(lists, 1);
        assert!(
            looks < 600,
            "looked at {looks} times in {} pieces",
            text.len() / 1448
        );
    }
}
