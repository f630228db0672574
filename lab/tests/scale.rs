//! The measurements of one sender at small sizes. Of times nothing is claimed here: they are measured by command.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

fn scale(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fault-lab"));
    let output = command
        .arg("scale")
        .args(arguments)
        .output()
        .expect("the lab runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).expect("text")
}

fn figures(arguments: &[&str]) -> Value {
    serde_json::from_str(&scale(arguments)).expect("a line of JSON")
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

#[test]
fn decisions_are_measured_while_all_that_can_go_goes_and_the_rest_is_held() {
    let figures = figures(&[
        "decisions",
        "--destinations",
        "200",
        "--backlog",
        "300",
        "--seconds",
        "2",
        "--rate",
        "50",
    ]);
    let number = |field: &str| figures[field].as_f64().expect("a number");
    assert_eq!(figures["stopped"], false, "{figures}");
    // 100 arrivals and their ends but for those of the three destinations that are down
    assert!(number("turns") >= 190.0, "{figures}");
    assert!(
        number("delivered") >= 85.0 && number("held") >= 300.0,
        "{figures}"
    );
    assert!(
        number("turn_median_us") > 0.0 && number("turn_max_us") >= number("turn_p99_us"),
        "{figures}"
    );
}

#[test]
fn a_sender_finds_in_the_journal_all_that_was_written_and_is_ready_after_a_kill() {
    let folder = tempfile::tempdir().expect("a folder");
    let (program, out) = (program(), folder.path().join("journal"));
    let paths = [program.to_str().expect("text"), out.to_str().expect("text")];
    let figures = figures(&[
        "journal",
        "--backlog",
        "40",
        "--program",
        paths[0],
        "--out",
        paths[1],
    ]);
    assert!(
        figures["ready_ms"]
            .as_f64()
            .is_some_and(|ready| ready > 0.0),
        "{figures}"
    );
    assert!(
        figures["bytes_per_message"]
            .as_f64()
            .is_some_and(|bytes| bytes > 250.0),
        "{figures}"
    );
}

#[test]
fn a_whole_list_is_read_in_one_line_or_in_several() {
    let folder = tempfile::tempdir().expect("a folder");
    let (program, out) = (program(), folder.path().join("list"));
    let paths = [program.to_str().expect("text"), out.to_str().expect("text")];
    for (per_line, lines) in [("500", 1), ("200", 3)] {
        let figures = figures(&[
            "list",
            "--destinations",
            "500",
            "--per-line",
            per_line,
            "--program",
            paths[0],
            "--out",
            paths[1],
        ]);
        assert_eq!(
            (&figures["lines"], &figures["refused"]),
            (&lines.into(), &0.into()),
            "{figures}"
        );
        assert!(figures["ready_ms"].is_number(), "{figures}");
    }
}

#[test]
fn the_line_through_points_gives_the_value_at_the_target_and_marks_one_that_is_far() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("points.jsonl");
    let point =
        |size: u32, add: u32| format!("{{\"size\":{size},\"cost\":{}}}\n", 5 + 2 * size + add);
    let points: String = [10, 20, 40, 400]
        .iter()
        .flat_map(|&size| [0, 1, 0].map(|add| point(size, add)))
        .collect();
    std::fs::write(&path, points).expect("written");
    let fit = |at: &str| {
        let path = path.to_str().expect("text");
        scale(&[
            "points", path, "--x", "size", "--y", "cost", "--at", at, "--budget", "1001",
        ])
    };
    let near = fit("1000");
    assert!(
        near.contains("size 400: 805.0000 (805.0000 to 806.0000), 3 runs"),
        "{near}"
    );
    assert!(
        near.contains("at 1000: 2005.0000, budget 1001, ratio 2.003"),
        "{near}"
    );
    assert!(fit("4001").contains("extrapolated over 10 times"));
}
