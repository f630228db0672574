//! Small fleets of the real program, with faults between them. The sender's own program is built by
//! `cargo test --workspace`, beside the lab's.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

fn lab() -> Command {
    Command::new(env!("CARGO_BIN_EXE_fault-lab"))
}

/// The sender's program, of the same build.
fn program() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_fault-lab")).with_file_name("message-sender");
    assert!(
        path.exists(),
        "{} is built by cargo test --workspace",
        path.display()
    );
    path
}

fn scenario(text: &str, folder: &Path) -> PathBuf {
    let path = folder.join("scenario.toml");
    std::fs::write(&path, text).expect("written");
    path
}

fn play(text: &str, program: &Path, folder: &Path) -> Output {
    let scenario = scenario(text, folder);
    let mut command = lab();
    command
        .arg("run")
        .arg(scenario)
        .arg("--program")
        .arg(program)
        .arg("--out")
        .arg(folder.join("out"));
    command.output().expect("the lab runs")
}

fn said(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

const SMALL: &str = r#"
name = "small"
seed = 3
senders = 5
seconds = 3
[traffic]
per_s = 30
[destinations]
count = 3
endpoints = 2
latency_ms = 40
capacity = 60
"#;

#[test]
fn five_senders_keep_the_rules_while_one_is_cut_off_and_one_is_killed() {
    let folder = tempfile::tempdir().expect("a folder");
    let faults = r#"
        [[fault]]
        at = 0.5
        seconds = 1.5
        kind = "cut"
        from = "n1"
        to = "endpoints"
        way = "both"
        [[fault]]
        at = 1
        seconds = 0.6
        kind = "kill"
        who = "n2"
    "#;
    let output = play(&format!("{SMALL}{faults}"), &program(), folder.path());
    let said = said(&output);
    // a machine that is busy makes the lab late, which voids the figures and breaks no rule
    assert!(said.contains("HELD") || said.contains("VOID"), "{said}");
    let history =
        std::fs::read_to_string(folder.path().join("out/history.jsonl")).expect("recorded");
    let count = |event: &str| history.matches(&format!(r#""event":"{event}""#)).count();
    assert_eq!(
        (count("started"), count("ended")),
        (6, 6),
        "five, and one again; all have ended"
    );
    assert!(count("replied") > 50, "{} answers", count("replied"));
}

#[test]
fn five_members_agree_on_who_lives_through_cuts_a_stall_a_kill_and_an_upgrade() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = SMALL
        .replace("seconds = 3", "seconds = 10")
        .replace("[traffic]", "[membership]\nperiod_ms = 100\n[traffic]");
    let faults = r#"
        [[fault]]
        at = 1
        seconds = 2
        kind = "cut"
        from = "n1"
        to = "n2"
        way = "both"
        [[fault]]
        at = 3.5
        seconds = 3
        kind = "cut"
        from = "senders"
        to = "n3"
        way = "there"
        [[fault]]
        at = 4
        seconds = 1
        kind = "stop"
        who = "n0"
        [[fault]]
        at = 7
        seconds = 2
        kind = "kill"
        who = "n4"
        [[fault]]
        at = 9.5
        kind = "upgrade"
        who = "n1"
    "#;
    let output = play(&format!("{text}{faults}"), &program(), folder.path());
    let said = said(&output);
    assert!(said.contains("HELD") || said.contains("VOID"), "{said}");
    let history =
        std::fs::read_to_string(folder.path().join("out/history.jsonl")).expect("recorded");
    let views: Vec<&str> = history
        .lines()
        .filter(|line| line.contains(r#""event":"members""#))
        .collect();
    let last = views.last().expect("views");
    assert!(
        last.contains(r#""living":5"#) && last.contains(r#""holders":5"#),
        "{last}"
    );
}

#[test]
fn senders_agree_while_the_leader_is_killed_a_sender_stands_still_and_one_is_cut_off() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = SMALL.replace("seconds = 3", "seconds = 9").replace(
        "[traffic]",
        "[registry]\nreplicas = 3\nlease_ms = 500\nchange_s = 0.1\n[traffic]",
    );
    let faults = r#"
        [[fault]]
        at = 1.5
        seconds = 2
        kind = "kill"
        who = "leader"
        [[fault]]
        at = 4
        seconds = 1.5
        kind = "stop"
        who = "n2"
        [[fault]]
        at = 5
        seconds = 1.5
        kind = "cut"
        from = "n1"
        to = "registry"
        way = "back"
        [[fault]]
        at = 7
        seconds = 0.5
        kind = "kill"
        who = "registry"
    "#;
    let scenario = scenario(&format!("{text}{faults}"), folder.path());
    let mut command = lab();
    command
        .arg("run")
        .arg(scenario)
        .arg("--program")
        .arg(program())
        .arg("--registry");
    command.arg(program().with_file_name("fleet-registry"));
    let output = command
        .arg("--out")
        .arg(folder.path().join("out"))
        .output()
        .expect("the lab runs");
    let said = said(&output);
    assert!(said.contains("HELD") || said.contains("VOID"), "{said}");
    assert!(said.contains(r#""contradiction_s":0.0"#), "{said}");
    let history =
        std::fs::read_to_string(folder.path().join("out/history.jsonl")).expect("recorded");
    let proposed = history.matches(r#""event":"proposed""#).count();
    assert!(proposed >= 2, "{proposed} changes were taken up");
}

#[test]
fn a_faulty_sender_is_caught_by_the_rule_that_it_breaks() {
    // examples are built with the tests
    let faulty = Path::new(env!("CARGO_BIN_EXE_fault-lab"))
        .with_file_name("examples")
        .join("faulty");
    // every answer breaks off: within its first line, as often as not
    let broken_answers = r#"
        [[fault]]
        at = 0
        seconds = 5
        kind = "answers"
        who = "endpoints"
        how = "close"
        share = 1
    "#;
    let ways = [
        ("drops", "", "never ended"),
        ("uninvited", "", "nobody's, which no client submitted"),
        ("twice", "", "took effect twice"),
        ("believes", broken_answers, "never ended"),
        ("crashes", "", "ended by itself"),
    ];
    let caught = &|(way, faults, rule): (&str, &str, &str)| {
        let folder = tempfile::tempdir().expect("a folder");
        let text = SMALL
            .replace("senders = 5", "senders = 1")
            .replace("seconds = 3", "seconds = 0.8");
        let path = scenario(&format!("{text}{faults}"), folder.path());
        let mut command = lab();
        command
            .env("FAULTY", way)
            .arg("run")
            .arg(path)
            .arg("--program")
            .arg(&faulty);
        let output = command
            .arg("--out")
            .arg(folder.path().join("out"))
            .output()
            .expect("the lab runs");
        assert_eq!(output.status.code(), Some(1), "{way}: {}", said(&output));
        assert!(said(&output).contains(rule), "{way}: {}", said(&output));
    };
    // each waits for the last deadline of what it does not end
    std::thread::scope(|scope| {
        ways.map(|way| scope.spawn(move || caught(way)))
            .map(|run| run.join().expect("caught"))
    });
}

#[test]
fn a_fleet_whose_disks_never_take_a_record_again_is_caught() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = SMALL.replace("seconds = 3", "seconds = 11");
    let fault = r#"
        [[fault]]
        at = 0.5
        kind = "calls"
        who = "senders"
        call = "journal_write"
        number = 5
    "#;
    let output = play(&format!("{text}{fault}"), &program(), folder.path());
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
    assert!(
        said(&output).contains("broken: recovery"),
        "{}",
        said(&output)
    );
}

#[test]
fn a_fleet_serves_again_after_faults_that_overlap() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = lab();
    command.args([
        "soak",
        "--from",
        "3",
        "--seeds",
        "1",
        "--least",
        "10",
        "--most",
        "10",
        "--seconds",
        "18",
    ]);
    command
        .arg("--program")
        .arg(program())
        .arg("--out")
        .arg(folder.path());
    let said = said(&command.output().expect("the lab runs"));
    // a machine that is busy makes the lab late, which voids the figures and breaks no rule
    assert!(said.contains("HELD") || said.contains("VOID"), "{said}");
}

#[test]
fn a_sender_that_never_gets_ready_ends_the_run_with_its_name() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = play(SMALL, Path::new("/bin/false"), folder.path());
    assert_eq!(output.status.code(), Some(2));
    assert!(
        said(&output).contains("n0 never got ready"),
        "{}",
        said(&output)
    );
}

#[test]
fn a_lab_that_is_killed_leaves_no_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let scenario = scenario(&SMALL.replace("seconds = 3", "seconds = 60"), folder.path());
    let out = folder.path().join("out");
    let mut command = lab();
    command
        .arg("run")
        .arg(scenario)
        .arg("--program")
        .arg(program())
        .arg("--out")
        .arg(&out);
    let mut running = command
        .stdout(std::process::Stdio::null())
        .spawn()
        .expect("the lab runs");
    let ids = || -> Vec<u32> {
        let children = format!("/proc/{0}/task/{0}/children", running.id());
        let text = std::fs::read_to_string(children).unwrap_or_default();
        text.split_whitespace()
            .filter_map(|id| id.parse().ok())
            .collect()
    };
    let until = Instant::now() + Duration::from_secs(30);
    while ids().len() < 5 {
        assert!(Instant::now() < until, "five senders start");
        std::thread::sleep(Duration::from_millis(20));
    }
    let started = ids();
    running.kill().expect("killed");
    running.wait().expect("ended");
    let lives = |id: &u32| {
        // one that has ended and waits to be reaped is no process that runs
        let status = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        status
            .rsplit(')')
            .next()
            .is_some_and(|rest| !rest.trim().is_empty() && !rest.trim().starts_with('Z'))
    };
    while started.iter().any(lives) {
        assert!(Instant::now() < until, "all senders end with the lab");
        std::thread::sleep(Duration::from_millis(20));
    }
}
