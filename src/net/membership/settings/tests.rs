use super::*;
use crate::net::stub_registry::{folder, golden};
use serde_json::json;

#[test]
fn object_is_read_with_defaults_and_faulty_object_error_names_its_key() {
    let good = json!({ "listen": "10.0.0.4:7946", "fleet": "hue", "seeds": ["10.0.0.5:7946"], "period_ms": 200 });
    let read_it = |value: &Value| read(value, "n3", 300);
    let membership = read_it(&good).expect("good").expect("there");
    let settings = membership.protocol;
    assert_eq!(
        (
            settings.protocol_period,
            settings.expected_members,
            settings.advertise
        ),
        (200_000, 300, membership.listen)
    );
    assert!(membership.act && settings.key.is_none());
    assert_eq!(read_it(&Value::Null).expect("none is none"), None);
    for (key, value, told) in [
        ("perriod_ms", json!(200), "unknown field `perriod_ms`"),
        ("fleet", json!(""), "membership.fleet is not"),
        ("listen", json!("here"), "membership: "),
        ("period_ms", json!(-1), "membership.period_ms is not"),
        (
            "members_most",
            json!(100_000),
            "membership.members_most is not",
        ),
        (
            "advertise",
            json!("0.0.0.0:7946"),
            "membership.advertise is not",
        ),
        (
            "key_file",
            json!("/nowhere/key"),
            "membership.key_file: /nowhere/key",
        ),
        ("act", json!("yes"), "membership: "),
    ] {
        let mut bad = good.clone();
        bad[key] = value;
        let error = read_it(&bad).expect_err(key).to_string();
        assert!(
            error.starts_with(told) || error.contains(told),
            "{key}: {error}"
        );
    }
}

#[test]
fn object_with_every_key_is_read() {
    let mut object: Value =
        serde_json::from_slice(&golden("membership/settings.json")).expect("JSON");
    let file = folder("membership-key").join("key");
    std::fs::write(&file, "0123456789abcdef\n").expect("written");
    assert_eq!(object["key_file"], "/etc/sender/fleet.key");
    object["key_file"] = json!(file);
    let membership = read(&object, "n3", 300).expect("good").expect("there");
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    assert_eq!(
        (membership.listen, membership.act),
        (address("10.0.0.4:7946"), false)
    );
    let settings = membership.protocol;
    assert_eq!(
        (settings.name.as_str(), settings.fleet.as_str()),
        ("n3", "hue")
    );
    assert_eq!(
        (settings.advertise, &settings.seeds[..]),
        (address("10.0.0.9:7947"), &[address("10.0.0.5:7946")][..])
    );
    assert_eq!(
        (
            settings.expected_members,
            settings.protocol_period,
            settings.indirect_probers
        ),
        (300, 200_500, 4)
    );
    assert_eq!(
        (
            settings.suspicion_multiplier,
            settings.max_suspicion_multiplier,
            settings.confirmations
        ),
        (4.5, 7.5, 2)
    );
    assert_eq!(
        (
            settings.retransmit_multiplier,
            settings.push_pull_periods,
            settings.max_members
        ),
        (6, 7, 900)
    );
    assert_eq!(settings.key.as_deref(), Some(&b"0123456789abcdef"[..]));
    assert!(settings.lifeguard);
}
