//! Golden files: what an earlier version wrote, one record a line, `name encoded`. A record is written again byte for
//! byte and read back as the same value. Records in postcard stand in hexadecimal, records in JSON as they are.
//!
//! `UPDATE_GOLDEN=1 cargo test --test golden` writes the files anew: only for records that are new.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::path::PathBuf;

/// One golden file, and what is written in its place.
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

    /// A value in postcard: stored, or sent between replicas.
    pub fn postcard<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let encode = |value: &T| hexadecimal(&postcard::to_allocvec(value).expect("encoded"));
        let decode = |line: &str| postcard::from_bytes(&bytes(line)).expect("decoded");
        self.record(name, value, encode, decode);
    }

    /// A value in JSON: sent to or by clients, or read from a file.
    pub fn json<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let encode = |value: &T| serde_json::to_string(value).expect("encoded");
        let decode = |line: &str| serde_json::from_str(line).expect("decoded");
        self.record(name, value, encode, decode);
    }

    /// A value in a form of its own.
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

    /// Checks that no record of the file was left out.
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

/// Bytes as hexadecimal digits.
pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes from hexadecimal digits.
pub fn bytes(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}
