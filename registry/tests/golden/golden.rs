//! Golden files: what the program wrote when the file was made, which later programs must read and write again.

use std::path::PathBuf;

/// Where a golden file lies.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Compares bytes with a golden file. `WRITE_GOLDEN=1` writes it: for a new file only, never to get a pass.
pub fn assert_same(name: &str, bytes: &[u8]) {
    let path = path(name);
    if std::env::var_os("WRITE_GOLDEN").is_some() && !path.exists() {
        std::fs::write(&path, bytes).expect("the golden file is written");
    }
    let golden = std::fs::read(&path).expect("the golden file");
    if golden != bytes {
        let difference = golden
            .iter()
            .zip(bytes)
            .position(|(one, other)| one != other);
        let difference = difference.unwrap_or(golden.len().min(bytes.len()));
        let near = |bytes: &[u8]| {
            let from = difference.saturating_sub(40).min(bytes.len());
            String::from_utf8_lossy(&bytes[from..bytes.len().min(difference + 80)]).into_owned()
        };
        panic!(
            "{name} differs from byte {difference}: {:?} is now {:?}",
            near(&golden),
            near(bytes)
        );
    }
}
