//! Tests of the settings file.

use super::*;

const GOOD: &str = r#"
cluster = "hue"
id = 2
listen = "127.0.0.1:8500"
peers = "127.0.0.1:8600"
folder = "state"
[[replica]]
id = 1
peers = "127.0.0.1:8601"
clients = "127.0.0.1:8501"
[[replica]]
id = 2
peers = "127.0.0.1:8600"
clients = "127.0.0.1:8500"
[agreement]
floor = "floor.json"
rules = "rules.json"
"#;

#[test]
fn settings_are_read_and_a_mistake_is_named_in_the_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let write =
        |name: &str, text: &str| std::fs::write(folder.path().join(name), text).expect("written");
    write("floor.json", "{}");
    write("rules.json", r#"{"limits":{}}"#);
    let path = folder.path().join("registry.toml");
    let read = |text: &str| {
        write("registry.toml", text);
        Settings::read(&path)
    };
    let settings = read(GOOD).expect("good");
    assert_eq!(
        (settings.voters(), settings.folder),
        (vec![1, 2], folder.path().join("state"))
    );
    let Ok(Some(Command::BeginRules { terms, .. })) = read(GOOD).expect("good").begin_rules()
    else {
        panic!("rules")
    };
    assert_eq!(
        terms,
        LeaseTerms {
            lease: 6_000_000,
            max_drift: 121_213
        }
    );
    for (from, to, expected) in [
        ("id = 2\nlisten", "id = 0\nlisten", "id is not above zero"),
        (
            "id = 2\nlisten",
            "id = 3\nlisten",
            "replica is not a list with this one in it",
        ),
        ("cluster =", "custer =", "unknown field `custer`"),
        (
            "peers = \"127.0.0.1:8600\"\nfolder",
            "folder",
            "peers is not there",
        ),
        (
            "[agreement]",
            "[limits]\nwatchers = 0\n[agreement]",
            "limits.watchers is not",
        ),
        (
            "[agreement]",
            "[agreement]\nlease_ms = 1",
            "agreement.lease_ms is not",
        ),
        ("rules.json", "none.json", "none.json: No such file"),
        (
            "[agreement]",
            "[ledger]\nsenders = 0\n[agreement]",
            "ledger.senders is not",
        ),
        (
            "[agreement]",
            "[ledger]\nsenders = 3\nfloors = { rat = 1 }\n[agreement]",
            "ledger.floors is not",
        ),
    ] {
        let error = read(&GOOD.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
    write("rules.json", r#"{"limits":{"calls":3}}"#);
    assert!(
        matches!(read(GOOD), Err(SettingsError::FallbackNotWithinRules)),
        "a fallback without limit is freer than one of 3"
    );
}
