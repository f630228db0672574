//! Deployments derived by `fault-lab site`, from a small base.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use toml::{Table, Value};

const BASE: &str = r#"
name = "base"
[load]
quiet = [0.4, 0.6]
[net]
zones = ["left", "right"] # two
[discovery]
mode = "ask"
[allow]
max_attempts = 12
[rules]
drain_grace_ms = 250
[prices]
waste = 0.08
handshake = 0.06
[[class]]
name = "notice"
share = 0.7
work_ms = [100, 200]
aim_ms = 2000
deadline_ms = 8000
worth = 1
effect = "keyed"
group = "zone"
window_ms = 1000
[[class]]
name = "order"
share = 0.3
work_ms = [100, 200]
aim_ms = 1000
deadline_ms = 10000
worth = 5
effect = "safe"
[fam]
zone_fee = [0.06, 0]
[[fam.kind]]
limit = "rate"
[[fam.kind]]
limit = "none"
[[fam.class]]
kinds = []
[[fam.class]]
kinds = [1]
"#;

/// A folder with the base and the files beside it.
fn base(folder: &Path) -> PathBuf {
    let path = folder.join("base.toml");
    if path.exists() {
        return path;
    }
    for companion in ["real.json", "wire.json", "unlock.txt"] {
        std::fs::write(folder.join(companion), companion).expect("written");
    }
    std::fs::write(&path, BASE).expect("written");
    path
}

fn derive(folder: &Path, name: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fault-lab"));
    command
        .arg("site")
        .arg("--base")
        .arg(base(folder))
        .arg("--out")
        .arg(folder.join(name));
    command.args(arguments).output().expect("the lab runs")
}

fn text(folder: &Path, name: &str) -> String {
    std::fs::read_to_string(folder.join(name).join(format!("{name}.toml"))).expect("a site file")
}

/// The base with these values of axes.
fn derived(sets: &[&str]) -> Table {
    let folder = tempfile::tempdir().expect("a folder");
    let arguments: Vec<&str> = sets.iter().flat_map(|set| ["--set", set]).collect();
    let output = derive(folder.path(), "other", &arguments);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    text(folder.path(), "other").parse().expect("TOML")
}

fn tables<'a>(site: &'a Table, name: &str) -> &'a [Value] {
    site[name].as_array().expect("an array of tables")
}

#[test]
fn a_site_without_changes_differs_from_its_base_in_the_name_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(derive(folder.path(), "other", &[]).status.success());
    assert_eq!(
        text(folder.path(), "other"),
        BASE.replace("\"base\"", "\"other\"")
    );
    let beside = std::fs::read_to_string(folder.path().join("other/wire.json"));
    assert_eq!(beside.expect("copied"), "wire.json");
}

#[test]
fn the_files_beside_a_base_that_may_not_be_written_to_are_copied_writable() {
    let folder = tempfile::tempdir().expect("a folder");
    let unlock = base(folder.path()).with_file_name("unlock.txt");
    let mut rights = std::fs::metadata(&unlock).expect("written").permissions();
    rights.set_readonly(true);
    std::fs::set_permissions(&unlock, rights).expect("set");
    assert!(derive(folder.path(), "other", &[]).status.success());
    let copy = std::fs::metadata(folder.path().join("other/unlock.txt"));
    assert!(!copy.expect("copied").permissions().readonly());
}

#[test]
fn a_deadline_keeps_the_share_of_each_classs_aim() {
    let site = derived(&["deadline=500ms"]);
    let classes = tables(&site, "class").iter();
    let times = classes.map(|class| {
        (
            class["aim_ms"].as_integer(),
            class["deadline_ms"].as_integer(),
        )
    });
    let times: Vec<_> = times.collect();
    assert_eq!(times, [(Some(125), Some(500)), (Some(50), Some(500))]);
}

#[test]
fn a_later_choice_is_made_upon_an_earlier_one() {
    let site = derived(&["deadline=60s", "aim=tenth", "work=hundredth"]);
    let class = &tables(&site, "class")[0];
    assert_eq!(class["aim_ms"].as_integer(), Some(6_000));
    assert_eq!(class["work_ms"], Value::from(vec![600.0, 1_050.0]));
}

#[test]
fn a_kinds_limit_is_set_in_all_kinds() {
    let site = derived(&["limit=window", "window=10s", "refused-count=yes"]);
    for kind in site["fam"]["kind"].as_array().expect("kinds") {
        assert_eq!(kind["limit"].as_str(), Some("window"));
        assert_eq!(kind["window_ms"].as_integer(), Some(10_000));
        assert_eq!(kind["refused_count"].as_bool(), Some(true));
    }
}

#[test]
fn classes_in_order_bring_the_settings_of_keys_and_others_take_them_away() {
    let ordered = derived(&["effect=in-order"]);
    let is_in_order =
        |class: &Value| class["in_order"].as_bool() == Some(true) && class.get("group").is_none();
    assert!(tables(&ordered, "class").iter().all(is_in_order));
    assert!(
        ordered["rules"].get("order_settle_ms").is_some()
            && ordered["fam"].get("key_gap_s").is_some()
    );
    let safe = derived(&["effect=in-order", "effect=safe"]);
    assert!(
        safe["rules"].get("order_settle_ms").is_none() && safe["fam"].get("key_gap_s").is_none()
    );
}

#[test]
fn eight_classes_repeat_the_bases_under_names_of_their_own() {
    let site = derived(&["classes=eight", "worth=hundredfold"]);
    let classes = tables(&site, "class");
    let names: std::collections::BTreeSet<_> =
        classes.iter().map(|class| class["name"].as_str()).collect();
    assert_eq!((classes.len(), names.len()), (8, 8));
    assert_eq!(site["fam"]["class"].as_array().map(Vec::len), Some(8));
    assert_eq!(
        (
            classes[0]["worth"].as_float(),
            classes[7]["worth"].as_float()
        ),
        (Some(1.0), Some(100.0))
    );
}

#[test]
fn one_class_is_the_bases_first() {
    let site = derived(&["classes=one"]);
    let [class] = tables(&site, "class") else {
        panic!("one class")
    };
    assert_eq!(
        (class["name"].as_str(), class["share"].as_float()),
        (Some("notice"), Some(1.0))
    );
}

#[test]
fn tenants_bring_the_settings_of_shares_and_none_takes_them_away() {
    let ten = derived(&["tenants=ten"]);
    let shares = tables(&ten, "tenant")
        .iter()
        .filter_map(|tenant| tenant["share"].as_float());
    assert!((shares.sum::<f64>() - 1.0).abs() < 1e-9);
    assert!(ten["load"].get("over_share_worth").is_some());
    let none = derived(&["tenants=ten", "tenants=none"]);
    assert!(none.get("tenant").is_none() && none["load"].get("over_share_worth").is_none());
}

#[test]
fn each_of_six_zones_has_a_fee() {
    let site = derived(&["zones=six"]);
    assert_eq!(site["net"]["zones"].as_array().map(Vec::len), Some(6));
    assert_eq!(site["fam"]["zone_fee"].as_array().map(Vec::len), Some(6));
}

#[test]
fn prices_are_multiplied_where_they_stand() {
    let site = derived(&["prices=tenfold"]);
    assert!((site["prices"]["handshake"].as_float().expect("a price") - 0.6).abs() < 1e-9);
    assert!(
        site["prices"].get("cross_zone").is_none(),
        "no price that the base has not"
    );
}

#[test]
fn a_seed_draws_the_same_site_again_and_leaves_what_is_set() {
    let folder = tempfile::tempdir().expect("a folder");
    let drawn = |name: &str, seed: &str| {
        let arguments = ["--set", "attempts=two", "--draw", "5", "--seed", seed];
        let output = derive(folder.path(), name, &arguments);
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        text(folder.path(), name).replace(name, "")
    };
    let first = drawn("first", "7");
    assert_eq!(first, drawn("again", "7"));
    assert_ne!(first, drawn("another", "8"));
    assert!(first.contains("max_attempts = 2"));
}

#[test]
fn every_value_of_every_axis_leaves_a_site_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_fault-lab"))
        .arg("axes")
        .output();
    let listed = String::from_utf8(output.expect("the lab runs").stdout).expect("text");
    let mut choices = 0;
    for line in listed.lines() {
        let (axis, rest) = line.split_once(" (").expect("a name");
        let (values, _) = rest.split_once(')').expect("values");
        for value in values.split(", ") {
            derived(&[&format!("{axis}={value}")]);
            choices += 1;
        }
    }
    assert!(choices > 50, "{choices} choices");
}

#[test]
fn what_is_no_value_is_named_with_the_values_that_are() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = derive(folder.path(), "other", &["--set", "attempts=seven"]);
    let said = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(
        !output.status.success() && said.contains("one, two, thirty"),
        "{said}"
    );
    assert!(!folder.path().join("other").exists());
}
