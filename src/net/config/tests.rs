//! Tests that a configuration file with every object and key gives the recorded settings.

use super::*;
use crate::net::golden::assert_same_bytes;
use message_sender::EndpointStatus;
use serde_json::json;

/// Configuration file with every object and key that the program reads.
const EVERY_KEY: &[u8] = include_bytes!("../../../tests/golden/config/config.json");
/// Recorded result of reading the file's `settings` object, in the encoding of a handover.
const SETTINGS: &[u8] = include_bytes!("../../../tests/golden/config/settings");
const NAMES: &[u8] = include_bytes!("../../../tests/golden/config/names");

fn read_text(text: &[u8], state: PathBuf) -> Result<Config, ConfigError> {
    Config::read(text.to_vec(), state, None, |file| {
        address("discovery", file.discovery.clone())
    })
}

fn every_key() -> Config {
    read_text(EVERY_KEY, PathBuf::from("state")).expect("a valid file")
}

#[test]
fn file_with_every_key_gives_recorded_settings() {
    let config = every_key();
    assert_same_bytes(
        "settings",
        &postcard::to_allocvec(&config.settings).expect("encoded"),
        SETTINGS,
    );
    assert_same_bytes(
        "names",
        &postcard::to_allocvec(&config.names).expect("encoded"),
        NAMES,
    );
    let settings: Settings = postcard::from_bytes(SETTINGS).expect("decoded");
    assert_eq!(settings, config.settings);
    let names: Names = postcard::from_bytes(NAMES).expect("decoded");
    assert_same_bytes(
        "names read",
        &postcard::to_allocvec(&names).expect("encoded"),
        NAMES,
    );
}

#[test]
fn file_with_every_key_gives_process_keys() {
    let config = every_key();
    assert_eq!(
        (config.name.as_str(), config.seed, config.max_descriptors),
        ("n1", 0x8c1f, 1024)
    );
    assert_eq!(config.listen.to_string(), "127.0.0.1:8001");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
    assert_eq!(
        config.control.map(|address| address.to_string()).as_deref(),
        Some("127.0.0.1:8002")
    );
    assert_eq!(config.passed_socket, None);
    // the journal gets the disk limit less the space for the remembered members, the terms of classes, the binding times,
    // one block of 4096 bytes and two copies of the last valid configuration file, both of which exist while it is replaced
    let remembered = crate::net::membership::MAX_DISK_BYTES;
    let (class_terms, binding_times) = (2 * 8192, 2 * 4096);
    assert_eq!(
        config.journal_bytes,
        3_500_000 - 2 * EVERY_KEY.len() as u64 - 4096 - remembered - class_terms - binding_times
    );
    let pool = PoolSettings {
        per_endpoint: Some(20),
        dials: Some(30),
        all: Some(400),
        idle: Some(100),
        idle_per_endpoint: Some(10),
        decay_s: 12.5,
        learn_caps: false,
        warm_share: 0.25,
    };
    assert_eq!(config.pool, pool);
}

#[test]
fn file_with_every_key_gives_known_list() {
    let known = every_key().known_list.expect("a list");
    assert_eq!(
        (known.version, known.full, known.entries.len()),
        (9, true, 3)
    );
    let read = |at: usize| {
        let target = &known.entries[at];
        let text = [
            target.uid.as_str(),
            target.zone.as_str(),
            target.kind.as_str(),
        ];
        (
            text,
            target.address.to_string(),
            target.destination,
            target.status,
            target.weight,
        )
    };
    assert_eq!(
        read(0),
        (
            ["s-1", "a", "one"],
            "127.0.0.1:9001".to_string(),
            7,
            EndpointStatus::Serving,
            2.5
        )
    );
    assert_eq!(
        read(1),
        (
            ["s-2", "b", "bulk"],
            "[::1]:9002".to_string(),
            8,
            EndpointStatus::Draining,
            0.0
        )
    );
    assert_eq!(
        read(2),
        (
            ["s-3", "", ""],
            "127.0.0.1:9003".to_string(),
            9,
            EndpointStatus::Removed,
            0.0
        )
    );
}

#[test]
fn file_with_every_key_gives_fleet_tables() {
    let config = every_key();
    let file: Value = serde_json::from_slice(EVERY_KEY).expect("JSON");
    let membership = config.membership.expect("there");
    assert_eq!(membership.listen.to_string(), "127.0.0.1:7946");
    assert!(!membership.act);
    let settings = &membership.protocol;
    assert_eq!(
        (
            settings.name.as_str(),
            settings.fleet.as_str(),
            settings.expected_members
        ),
        ("n1", "blue", 3)
    );
    assert_eq!(settings.advertise.to_string(), "127.0.0.2:7946");
    assert_eq!(
        settings
            .seeds
            .iter()
            .map(SocketAddr::port)
            .collect::<Vec<_>>(),
        [7946, 7946]
    );
    assert_eq!(
        (
            settings.protocol_period,
            settings.indirect_probers,
            settings.push_pull_periods,
            settings.max_members
        ),
        (200_000, 4, 31, 900)
    );
    assert_eq!(
        (
            settings.suspicion_multiplier,
            settings.max_suspicion_multiplier
        ),
        (5.5, 6.5)
    );
    assert_eq!(
        (settings.confirmations, settings.retransmit_multiplier),
        (2, 5)
    );
    assert_eq!(
        settings.key.as_deref(),
        Some(&b"a shared key of the fleet"[..])
    );

    let agreement = config.agreement.expect("there");
    assert_eq!(
        serde_json::to_value(&agreement.fallback).expect("JSON"),
        file["agreement"]["floor"]
    );
    assert_eq!(json!(agreement.replicas), file["agreement"]["others"]);

    let ledger = config.ledger.expect("there");
    assert_eq!(ledger.fallback_quotas().senders, 3);
    assert_eq!(
        json!(ledger.fallback_quotas().per_sender),
        file["ledger"]["floors"]
    );
    assert_eq!(json!(ledger.replicas), file["ledger"]["others"]);
    assert_eq!(ledger.bytes_a_second, 4000);

    let freeze = config.freeze.expect("there");
    assert_eq!(
        (freeze.poll_ms, freeze.unknown_ms, freeze.ramp_ms),
        (900, 9000, 450)
    );
    assert_eq!(json!(freeze.replicas), file["freeze"]["others"]);
}

#[test]
fn file_is_kept_byte_for_byte() {
    let folder = std::env::temp_dir().join(format!("config-golden-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    read_text(EVERY_KEY, folder.clone())
        .expect("a valid file")
        .keep();
    let kept = std::fs::read(folder.join("config.last")).expect("kept");
    assert_same_bytes("kept file", &kept, EVERY_KEY);
    let again = read_text(&kept, folder.clone()).expect("a valid file");
    assert_eq!(
        (again.settings, again.text.as_slice()),
        (every_key().settings, EVERY_KEY)
    );
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn file_without_key_of_file_in_force_is_rejected() {
    let file: Value = serde_json::from_slice(EVERY_KEY).expect("JSON");
    for (pointer, key) in [
        ("", "limits"),
        ("/settings", "safety"),
        ("/settings/caps", "mostTries"),
    ] {
        let mut lacking = file.clone();
        lacking
            .pointer_mut(pointer)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .remove(key);
        let text = serde_json::to_vec(&lacking).expect("JSON");
        let read = Config::read(text, PathBuf::from("state"), Some(EVERY_KEY), |file| {
            address("discovery", file.discovery.clone())
        });
        assert!(
            matches!(read, Err(ConfigError::Incomplete(_))),
            "{pointer}/{key}"
        );
    }
}
