//! A short soak by fixed seeds; the long one is started by hand (docs/lab.md).

use std::path::Path;
use std::process::{Command, Output};

/// Of these, one has a crowd of clients that stop within large bodies, and two have bulk calls.
const SEEDS: [u64; 3] = [1, 2, 3];

fn soak(seed: u64, folder: &Path) -> Output {
    let lab = Path::new(env!("CARGO_BIN_EXE_fault-lab"));
    let out = folder.join(seed.to_string());
    Command::new(lab)
        .args(["soak", "--seeds", "1", "--least", "4", "--most", "8"])
        .args(["--from", &seed.to_string()])
        .arg("--program")
        .arg(lab.with_file_name("message-sender"))
        .arg("--out")
        .arg(out)
        .output()
        .expect("the lab runs")
}

#[test]
fn drawn_faults_break_no_rule() {
    let folder = tempfile::tempdir().expect("a folder");
    let runs = std::thread::scope(|scope| {
        SEEDS
            .map(|seed| {
                scope.spawn({
                    let folder = folder.path();
                    move || soak(seed, folder)
                })
            })
            .map(|run| run.join().expect("played"))
    });
    for (seed, run) in SEEDS.into_iter().zip(runs) {
        let said = String::from_utf8_lossy(&run.stdout);
        // a machine that is busy makes the lab late, which voids the figures and breaks no rule
        assert!(run.status.success(), "seed {seed}: {said}");
        assert!(said.contains("0 of 1 seeds broke a rule"), "{said}");
    }
}
