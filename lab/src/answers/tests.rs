//! Cuts at each byte, and what of an answer is recorded.

use super::*;
use crate::history::{Head, read};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn history(folder: &tempfile::TempDir) -> Arc<History> {
    let head = Head {
        version: crate::history::VERSION,
        scenario: "s".to_string(),
        seed: 1,
        senders: 1,
        ends_us: 0,
        period_us: None,
    };
    let path = folder.path().join("history.jsonl");
    Arc::new(History::create(&path, &head).expect("created"))
}

/// The names of the events that an answer with this fault leaves, and what passes of it.
fn played(ids: &[&str], fault: Option<AnswerFault>) -> (Vec<String>, Passage) {
    let folder = tempfile::tempdir().expect("a folder");
    let history = history(&folder);
    let track = AnswerTrack::default();
    let ids = ids.iter().map(ToString::to_string).collect();
    let call = OpenCall::new(history.clone(), ids, 3, 0);
    track.expect(Some(call), fault);
    let passage = track.pass(ANSWER.to_vec());
    if passage.interval.is_some() {
        let last = passage.bytes.len() - 1;
        for (index, byte) in passage.bytes.iter().enumerate() {
            track.record(&[*byte], index == last);
        }
    }
    track.abandon();
    history.flush().expect("written");
    let (_, records) = read(&folder.path().join("history.jsonl")).expect("read");
    let name = |event: &Event| match event {
        Event::CallAnswered { id, status, .. } => format!("{id} {status}"),
        Event::CallAbandoned { id, .. } => format!("{id} abandoned"),
        other => format!("{other:?}"),
    };
    (
        records.iter().map(|record| name(&record.event)).collect(),
        passage,
    )
}

#[test]
fn cut_answer_counts_from_the_end_of_its_first_line_on() {
    let line = b"HTTP/1.1 200 OK\r\n".len();
    let mut lengths = Vec::new();
    for part in [Part::StatusLine, Part::Head, Part::Body] {
        for step in 0..100 {
            let fraction = f64::from(step) / 100.0;
            for ending in [Ending::Close, Ending::Reset, Ending::Silence] {
                let fault = AnswerFault::Break(Cut { part, fraction }, ending);
                let (events, passage) = played(&["a"], Some(fault));
                let length = passage.bytes.len();
                let wanted = if length >= line {
                    "a 200"
                } else {
                    "a abandoned"
                };
                assert_eq!(events, [wanted], "{length} bytes, {ending:?}");
                assert_eq!(passage.ending, Some(ending));
                lengths.push(length);
            }
        }
    }
    lengths.sort_unstable();
    lengths.dedup();
    let all: Vec<usize> = (0..=ANSWER.len()).collect();
    assert_eq!(lengths, all, "each length is drawn");
}

#[test]
fn bulk_answer_counts_only_whole() {
    let cut = |fraction| Cut {
        part: Part::Body,
        fraction,
    };
    for (fraction, wanted) in [
        (0.5, ["a abandoned", "b abandoned"]),
        // it breaks off behind its last byte
        (0.99, ["a 200", "b 200"]),
    ] {
        let broken = AnswerFault::Break(cut(fraction), Ending::Close);
        let (events, _) = played(&["a", "b"], Some(broken));
        assert_eq!(events, wanted);
    }
    let (events, _) = played(&["a", "b"], None);
    assert_eq!(events, ["a 200", "b 200"]);
}

#[test]
fn dripping_and_trailing_answers_are_whole() {
    let (events, passage) = played(&["a"], Some(AnswerFault::Drip));
    assert_eq!(events, ["a 200"]);
    assert_eq!((&passage.bytes[..], passage.ending), (ANSWER, None));
    let (events, passage) = played(&["a"], Some(AnswerFault::Trailing));
    assert_eq!(events, ["a 200"]);
    assert_eq!(passage.bytes, [ANSWER, STRAY_ANSWER].concat());
}
