//! The settings file: each key is read, and no other.

use crate::golden;
use fleet_registry::settings::{Settings, SettingsError};
use fleet_registry::state::Command;
use quota_ledger::{FallbackQuotas, LedgerEntry};
use versioned_config::{LeaseTerms, Rules};

fn read(text: &str) -> Result<Settings, SettingsError> {
    let folder = tempfile::tempdir().expect("a folder");
    let write =
        |name: &str, text: &str| std::fs::write(folder.path().join(name), text).expect("written");
    write("floor.json", r#"{"limits":{"calls":5}}"#);
    write("rules.json", r#"{"limits":{"calls":50}}"#);
    write("registry.toml", text);
    Settings::read(&folder.path().join("registry.toml")).inspect(|settings| {
        let Ok(Some(Command::BeginRules {
            fallback, rules, ..
        })) = settings.begin_rules()
        else {
            return;
        };
        let calls = |rules: &Rules| rules.limits["calls"];
        assert_eq!((calls(&fallback), calls(&rules)), (5, 50));
    })
}

fn golden_text() -> String {
    std::fs::read_to_string(golden::path("settings.toml")).expect("the golden file")
}

#[test]
fn settings_with_every_key_are_read() {
    let settings = read(&golden_text()).expect("good settings");
    assert_eq!(
        (settings.cluster.as_str(), settings.id, settings.join),
        ("golden", 2, true)
    );
    assert_eq!(settings.listen.to_string(), "127.0.0.1:8502");
    assert_eq!(
        settings.peers.map(|address| address.to_string()).as_deref(),
        Some("127.0.0.1:8602")
    );
    assert!(settings.folder.ends_with("state"));
    let addresses = settings.addresses();
    assert_eq!(addresses.keys().copied().collect::<Vec<u64>>(), [1, 2]);
    assert_eq!(addresses[&1].peers.to_string(), "127.0.0.1:8601");
    assert_eq!(addresses[&1].clients.to_string(), "127.0.0.1:8501");
    let agreement = settings.agreement.as_ref().expect("an agreement");
    assert_eq!((agreement.lease_ms, agreement.drift_percent), (7000, 2.5));
    let fallback_quotas = FallbackQuotas {
        senders: 4,
        per_sender: [("out/7".to_string(), 3), ("rate".to_string(), 10)].into(),
    };
    let terms = LeaseTerms {
        lease: 1_700_000,
        max_drift: 17_086,
    };
    let begin = LedgerEntry::Create {
        fallback_quotas,
        terms,
        split_at: vec![100, 200],
    };
    assert_eq!(settings.begin_ledger(), Some(Command::Ledger(begin)));
    let limits = &settings.limits;
    assert_eq!((limits.clients, limits.watchers), (300, 30));
    assert_eq!((limits.log_bytes, limits.stalled_ms), (8192, 900));
}

#[test]
fn settings_without_optional_keys_have_their_defaults() {
    let text = "cluster = \"golden\"\nid = 2\nlisten = \"127.0.0.1:8502\"\nfolder = \"state\"\n\
        [agreement]\nfloor = \"floor.json\"\nrules = \"rules.json\"\n[ledger]\nsenders = 4\n";
    let settings = read(text).expect("good settings");
    assert!(!settings.join && settings.peers.is_none() && settings.addresses().is_empty());
    let agreement = settings.agreement.as_ref().expect("an agreement");
    assert_eq!((agreement.lease_ms, agreement.drift_percent), (6000, 1.0));
    let fallback_quotas = FallbackQuotas {
        senders: 4,
        per_sender: [].into(),
    };
    let begin = LedgerEntry::Create {
        fallback_quotas,
        terms: LeaseTerms {
            lease: 1_500_000,
            max_drift: 30_304,
        },
        split_at: vec![],
    };
    assert_eq!(settings.begin_ledger(), Some(Command::Ledger(begin)));
    let limits = &settings.limits;
    assert_eq!((limits.clients, limits.watchers), (2048, 1024));
    assert_eq!((limits.log_bytes, limits.stalled_ms), (4 << 20, 8000));
}

#[test]
fn settings_with_a_misspelt_key_are_rejected() {
    let text = golden_text();
    let lines: Vec<&str> = text.lines().collect();
    let mut keys = 0;
    for (number, line) in lines
        .iter()
        .enumerate()
        .filter(|(_, line)| !line.is_empty())
    {
        let misspelt = match line.strip_prefix('[') {
            Some(_) => line.replace(']', "x]").replace("x]x]", "x]]"),
            None => line.replacen(" =", "x =", 1),
        };
        let mut changed = lines.clone();
        changed[number] = &misspelt;
        let error = read(&changed.join("\n")).expect_err(&misspelt).to_string();
        assert!(error.contains("unknown field"), "{misspelt}: {error}");
        keys += 1;
    }
    assert_eq!(keys, 30, "all keys and tables");
}
