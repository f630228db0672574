use super::*;
use serde_json::json;

fn said(at_ms: u64, sender: usize, version: u64, whole: bool, limits: [u64; 2]) -> Record {
    let report = json!({ "acts_on": { "version": version, "whole": whole },
            "rules": { "limits": { "calls": limits[0], "messages": limits[1] } }, "left_ms": 5 });
    Record {
        at_us: at_ms * 1000,
        event: Event::RulesReported { sender, report },
    }
}

const OLD: [u64; 2] = [4, 3];
const NEW: [u64; 2] = [3, 4];
const MEET: [u64; 2] = [3, 3];

fn proposed(at_ms: u64, version: u64) -> Record {
    Record {
        at_us: at_ms * 1000,
        event: Event::RulesProposed { version },
    }
}

#[test]
fn change_through_the_intersection_has_no_violation_and_is_timed() {
    let records = [
        said(0, 0, 1, true, OLD),
        said(0, 1, 1, true, OLD),
        proposed(100, 2),
        said(150, 0, 2, false, MEET),
        said(200, 1, 1, true, OLD),
        said(250, 1, 2, false, MEET),
        said(300, 0, 2, true, NEW),
        said(320, 1, 2, false, MEET),
        said(400, 1, 2, true, NEW),
    ];
    assert_eq!(check(&records), []);
    let figures = figures(&records);
    assert_eq!(
        (figures.changes, figures.longest_s, figures.contradiction_s),
        (1, Some(0.3), 0.0)
    );
}

#[test]
fn revisions_that_are_not_linearizable_are_a_violation() {
    let done = |requested_at_us: u64, at_us: u64, rev: u64, is_write: bool| Record {
        at_us,
        event: Event::ListRevision {
            requested_at_us,
            revision: rev,
            is_write,
        },
    };
    let good = vec![
        done(0, 10, 1, true),
        done(5, 20, 2, true),
        done(12, 18, 1, false),
        done(15, 30, 2, false),
        done(25, 40, 4, false),
        done(21, 50, 3, true),
        done(22, 60, 4, true),
    ];
    assert_eq!(check(&good), []);
    for bad in [
        done(70, 80, 3, false),
        done(41, 80, 4, true),
        done(61, 80, 2, true),
        done(1, 3, 4, true),
    ] {
        let broken = check(&[good.clone(), vec![bad.clone()]].concat());
        assert!(
            broken
                .iter()
                .any(|violation| violation.description.contains("no order")),
            "{bad:?}"
        );
    }
    assert_eq!(figures(&good).writes, 4);
}

#[test]
fn contradictions_earlier_versions_and_lost_versions_are_violations() {
    let beside = [
        said(0, 0, 1, true, OLD),
        said(10, 1, 2, true, NEW),
        said(60, 0, 1, true, OLD),
        said(90, 1, 2, true, NEW),
    ];
    assert_eq!(
        check(&beside)[0].description,
        "n1 and n0 contradicted each other for 50 ms".replace("n1 and n0", "n0 and n1")
    );
    let back = [said(0, 0, 2, true, NEW), said(50, 0, 2, false, MEET)];
    assert!(check(&back)[0].description.contains("went back"));
    let restarted = [
        said(0, 0, 2, true, NEW),
        Record {
            at_us: 10_000,
            event: Event::ProcessReady { sender: 0 },
        },
        said(50, 0, 2, false, MEET),
    ];
    assert_eq!(check(&restarted), []);
    assert!(
        check(&[proposed(0, 5), said(9, 0, 2, true, NEW)])[0]
            .description
            .contains("none acts on more than 2")
    );
    assert!(
        check(&[proposed(0, 5), proposed(9, 5), said(9, 0, 5, true, NEW)])[0]
            .description
            .contains("answered after")
    );
}
