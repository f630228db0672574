//! Golden files: values as an earlier version encoded them, one record per line: `name encoded`.
//! The tests check that each value is still encoded to the same bytes, and that the record is
//! decoded to the same value. Records in postcard are written in hexadecimal, records in JSON as
//! text.
//!
//! `UPDATE_GOLDEN=1 cargo test --test golden` rewrites the files without checking them. Use it only
//! to add new records; existing records must not change.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::path::PathBuf;

/// Golden file under check, and the contents that the current code writes for the same values.
pub struct GoldenFile {
    path: PathBuf,
    recorded: String,
    written: String,
}

impl GoldenFile {
    /// Opens `tests/golden/NAME` of the crate under test.
    pub fn open(name: &str) -> Self {
        let path = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR").expect("cargo sets it"))
            .join("tests/golden")
            .join(name);
        let recorded = std::fs::read_to_string(&path).unwrap_or_default();
        GoldenFile {
            path,
            recorded,
            written: String::new(),
        }
    }

    /// Checks a value that is encoded in postcard: it is stored, or sent between replicas.
    pub fn postcard<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let encode = |value: &T| hexadecimal(&postcard::to_allocvec(value).expect("encoded"));
        let decode = |line: &str| postcard::from_bytes(&bytes(line)).expect("decoded");
        self.record(name, value, encode, decode);
    }

    /// Checks a value that is encoded in JSON: clients send or receive it, or it is read from a
    /// file.
    pub fn json<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let encode = |value: &T| serde_json::to_string(value).expect("encoded");
        let decode = |line: &str| serde_json::from_str(line).expect("decoded");
        self.record(name, value, encode, decode);
    }

    /// Checks a value that `encode` and `decode` convert to and from the text of its record.
    pub fn record<T: PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> String,
        decode: impl Fn(&str) -> T,
    ) {
        assert!(!name.contains(' '), "{name}: a name is one word");
        let line = encode(value);
        self.written.push_str(&format!("{name} {line}\n"));
        if updates() {
            return;
        }
        let recorded = self
            .recorded
            .lines()
            .filter_map(|line| line.split_once(' '));
        let recorded: Vec<&str> = recorded
            .filter(|(other, _)| *other == name)
            .map(|(_, line)| line)
            .collect();
        let [recorded] = recorded[..] else {
            panic!("{name}: {} records", recorded.len())
        };
        assert_eq!(line, recorded, "{name} is written in another form");
        let read = decode(recorded);
        assert_eq!(&read, value, "{name} is read as another value");
        assert_eq!(encode(&read), recorded, "{name} changes on the way");
    }

    /// Checks that all records of the file were checked, in order; when updating, writes the file.
    pub fn finish(self) {
        if updates() {
            std::fs::write(&self.path, &self.written).expect("written");
        } else {
            assert_eq!(self.written, self.recorded, "{}", self.path.display());
        }
    }
}

fn updates() -> bool {
    std::env::var_os("UPDATE_GOLDEN").is_some()
}

/// Returns the bytes as hexadecimal digits.
pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes that the hexadecimal digits encode.
pub fn bytes(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}
