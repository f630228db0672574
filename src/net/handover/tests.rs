//! Compatibility tests of the handover: frames that an earlier program version sent are decoded, and encoded again to
//! the same bytes.

use super::lock::LOCK_FILE;
use super::*;
use crate::net::end_proof::EndProof;
use crate::net::events::{AdminResult, AttemptEnd, ForwardedSubmission, SubmissionResult};
use crate::net::golden::assert_same_bytes;
use message_sender::wire::Names;
use message_sender::{Outcome, Sender};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;

/// Golden file with the frames of [`every_frame`] as sent over the link, each preceded by its length.
const LINK: &[u8] = include_bytes!("../../../tests/golden/handover/link");
/// Golden file with the encoded decision module of a sender that has just started.
const SENDER: &[u8] = include_bytes!("../../../tests/golden/handover/sender-at-start");

fn names() -> Names {
    Names {
        zones: vec!["a".into(), "b".into()],
        classes: vec!["webhook".into(), "order".into()],
        kinds: vec!["one".into(), "bulk".into()],
        tenants: vec!["acme".into()],
        report_fields: vec!["x0".into(), "x1".into()],
        dial_timeout: 500_001,
    }
}

fn handover_state() -> HandoverState {
    HandoverState {
        sender: vec![1, 2, 3, 255],
        names: names(),
        endpoints: vec![
            EndpointState {
                endpoint: 3,
                uid: "s-3".into(),
                address: Some("127.0.0.1:8003".parse().expect("an address")),
                kind: 1,
                destination: 70_000,
                listed: true,
                serving: false,
                zone: "a".into(),
                weight: 2.5,
            },
            EndpointState {
                endpoint: 4,
                uid: "s-4".into(),
                address: Some("[::1]:8004".parse().expect("an address")),
                kind: usize::MAX,
                destination: 8,
                listed: false,
                serving: true,
                zone: String::new(),
                weight: 0.0,
            },
            EndpointState {
                endpoint: 5,
                uid: "s-5".into(),
                address: None,
                kind: 0,
                destination: 9,
                listed: true,
                serving: true,
                zone: "b".into(),
                weight: 1.0,
            },
        ],
        next_endpoint: 6,
        messages: vec![
            MessageState {
                number: 11,
                id: "m11".into(),
                key: Some("key-11".into()),
                body: b"body \0\xff".to_vec(),
                open: true,
                clients: 2,
                attempts: vec![
                    AttemptState {
                        endpoint: 3,
                        sent_at: 1_700_000_000_000_001,
                        call: 41,
                        item: 1,
                        in_flight: true,
                        journal_position: Some(7),
                    },
                    AttemptState {
                        endpoint: 4,
                        sent_at: -1,
                        call: u64::MAX,
                        item: 0,
                        in_flight: false,
                        journal_position: None,
                    },
                ],
            },
            MessageState {
                number: 12,
                id: "m12".into(),
                key: None,
                body: Vec::new(),
                open: false,
                clients: 0,
                attempts: Vec::new(),
            },
        ],
        next_message: 13,
        calls: vec![CallState {
            number: 41,
            items: vec![
                CallItemState {
                    message: 10,
                    attempt: 2,
                },
                CallItemState {
                    message: 11,
                    attempt: 0,
                },
            ],
            pending_items: 1,
        }],
        next_call: 42,
        ended_ids: vec!["d1".into(), "d2".into()],
        list_version: 90,
        timer: Some(1_700_000_000_000_002),
        client_connections: 17,
    }
}

fn attempt_ended(outcome: Outcome) -> Frame {
    Frame::Message(HandoverMessage::AttemptEnded(AttemptEnd {
        call: 41,
        position: 2,
        outcome,
        proof: Some(EndProof::REPORTED),
        load_report: vec![0.25, 1e9],
        retry_after: Some(3_000_003),
    }))
}

fn forwarded_submission() -> ForwardedSubmission {
    ForwardedSubmission {
        id: "m21".into(),
        key: Some("key-21".into()),
        subject: Some("account-9".into()),
        tenant: Some("acme".into()),
        class: 1,
        destination: 70_000,
        time_limit: 20_000_004,
        received_at: 1_700_000_000_000_005,
        resubmitted: true,
        previous_sender_failed: false,
        body: b"passed on".to_vec(),
    }
}

fn submission_answered(result: SubmissionResult) -> Frame {
    Frame::Message(HandoverMessage::Answered { number: 51, result })
}

fn admin_result(result: AdminResult) -> Frame {
    Frame::Message(HandoverMessage::AdminResult { number: 61, result })
}

fn every_frame() -> Vec<Frame> {
    let submission_without_options = ForwardedSubmission {
        key: None,
        subject: None,
        tenant: None,
        resubmitted: false,
        previous_sender_failed: true,
        ..forwarded_submission()
    };
    vec![
        Frame::Request { version: VERSION },
        Frame::Request {
            version: JOURNAL_ONLY,
        },
        Frame::State(Box::new(handover_state())),
        Frame::State(Box::new(HandoverState {
            timer: None,
            ..handover_state()
        })),
        Frame::Accepted,
        Frame::Message(HandoverMessage::CancelAttempt {
            call: 41,
            position: 1,
        }),
        attempt_ended(Outcome::Success),
        attempt_ended(Outcome::Error),
        attempt_ended(Outcome::Rejected { retry_after: None }),
        attempt_ended(Outcome::Rejected {
            retry_after: Some(2_000_002),
        }),
        attempt_ended(Outcome::TimedOut),
        attempt_ended(Outcome::NoConnection),
        attempt_ended(Outcome::Reset),
        attempt_ended(Outcome::Cancelled),
        attempt_ended(Outcome::NotSent { no_slot: true }),
        Frame::Message(HandoverMessage::AttemptEnded(AttemptEnd {
            call: 1,
            position: 0,
            outcome: Outcome::NotSent { no_slot: false },
            proof: None,
            load_report: Vec::new(),
            retry_after: None,
        })),
        Frame::Message(HandoverMessage::Submitted {
            number: 51,
            submission: Box::new(forwarded_submission()),
        }),
        Frame::Message(HandoverMessage::Submitted {
            number: 52,
            submission: Box::new(submission_without_options),
        }),
        submission_answered(SubmissionResult::Accepted),
        submission_answered(SubmissionResult::AlreadyDelivered),
        submission_answered(SubmissionResult::Rejected { retry_after: None }),
        submission_answered(SubmissionResult::Rejected {
            retry_after: Some(1_500_006),
        }),
        submission_answered(SubmissionResult::NotStored),
        submission_answered(SubmissionResult::Failed),
        Frame::Message(HandoverMessage::ClientDisconnected("m21".into())),
        Frame::Message(HandoverMessage::AdminCommand {
            number: 61,
            uid: "s-3".into(),
            disabled: true,
        }),
        Frame::Message(HandoverMessage::AdminCommand {
            number: 62,
            uid: "s-4".into(),
            disabled: false,
        }),
        admin_result(AdminResult::Done),
        admin_result(AdminResult::UnknownEndpoint),
        admin_result(AdminResult::NotWritten),
    ]
}

/// Sends the frames over a link and returns the bytes that the other end receives.
async fn sent_bytes(frames: &[Frame]) -> Vec<u8> {
    let (local, mut remote) = UnixStream::pair().expect("a pair of sockets");
    let mut link = Link::new(local);
    let send = async {
        for frame in frames {
            link.writer.send(frame).await.expect("sent");
        }
        drop(link);
    };
    let mut bytes = Vec::new();
    let (_, read) = tokio::join!(send, remote.read_to_end(&mut bytes));
    read.expect("read");
    bytes
}

#[tokio::test]
async fn every_frame_kind_is_sent_as_recorded_bytes() {
    let mut offset = 0;
    for frame in every_frame() {
        let bytes = sent_bytes(std::slice::from_ref(&frame)).await;
        let end = (offset + bytes.len()).min(LINK.len());
        assert_same_bytes(&format!("{frame:?}"), &bytes, &LINK[offset..end]);
        offset = end;
    }
    assert_eq!(offset, LINK.len());
}

#[tokio::test]
async fn every_recorded_frame_is_decoded_and_encodes_to_same_bytes() {
    let (local, mut remote) = UnixStream::pair().expect("a pair of sockets");
    let mut link = Link::new(local);
    let write = async {
        remote.write_all(LINK).await.expect("written");
        drop(remote);
    };
    let read = async {
        let mut frames = Vec::new();
        while frames.len() < every_frame().len() {
            frames.push(link.receive().await.expect("a frame"));
        }
        assert!(
            matches!(link.receive().await, Err(LinkError::Io(_))),
            "nothing more"
        );
        frames
    };
    let (_, frames) = tokio::join!(write, read);
    for (frame, expected) in frames.iter().zip(every_frame()) {
        assert_eq!(format!("{frame:?}"), format!("{expected:?}"));
    }
    assert_same_bytes("all frames", &sent_bytes(&frames).await, LINK);
}

#[test]
fn version_and_file_names_are_unchanged() {
    assert_eq!((VERSION, JOURNAL_ONLY), (10, 0));
    assert_eq!((LOCK_FILE, SOCKET), ("lock", "upgrade.sock"));
}

#[test]
fn sender_at_start_decodes_and_encodes_to_recorded_bytes() {
    let mut settings = message_sender::Settings::new(8, 50);
    settings.classes.push(message_sender::Class::new(
        "order",
        message_sender::Effect::NonIdempotent,
        1,
        2,
    ));
    let sender = Sender::new(settings, 0x8c1f).expect("sound settings");
    assert_same_bytes(
        "module",
        &postcard::to_allocvec(&sender).expect("encoded"),
        SENDER,
    );
    let read: Sender = postcard::from_bytes(SENDER).expect("decoded");
    assert_same_bytes(
        "decoded module",
        &postcard::to_allocvec(&read).expect("encoded"),
        SENDER,
    );
}
