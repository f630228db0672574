//! What goes between replicas: messages of each kind, and what a link carries before and around them.

use crate::golden;
use crate::samples::addresses;
use fleet_registry::commands::ThreadCommand;
use fleet_registry::state::ReplicaAddresses;
use fleet_registry::transport::Transport;
use fleet_registry::wire_types::{EntryKind, LogEntry, Membership, Snapshot, decode, encode};
use raft::eraftpb::{self, Message, MessageType};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;

const KINDS: [MessageType; 14] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTransferLeader,
    MessageType::MsgTimeoutNow,
    MessageType::MsgReadIndex,
    MessageType::MsgReadIndexResp,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgUnreachable,
];

/// Above 32 bits, so that a narrower field shows.
const LARGE: u64 = 1 << 40;

/// A message in which each field has a value of its own.
fn message(kind: MessageType) -> Message {
    let mut message = Message {
        msg_type: kind,
        to: 2,
        from: 1,
        term: LARGE + 9,
        ..Message::default()
    };
    message.log_term = LARGE + 8;
    message.index = LARGE + 7;
    message.commit = LARGE + 6;
    message.commit_term = LARGE + 5;
    message.request_snapshot = LARGE + 4;
    message.reject = true;
    message.reject_hint = LARGE + 3;
    message.priority = -(LARGE as i64);
    message.context = vec![9, 8, 7].into();
    let entry = |kind, index| {
        let entry = LogEntry {
            kind,
            term: LARGE + 2,
            index,
            data: vec![1, 2],
            context: vec![3],
        };
        eraftpb::Entry::from(entry)
    };
    message.set_entries(
        vec![
            entry(EntryKind::Normal, LARGE + 8),
            entry(EntryKind::Replicas, LARGE + 9),
        ]
        .into(),
    );
    if kind == MessageType::MsgSnapshot {
        let membership = Membership {
            voters: vec![1, 2, 3],
            learners: vec![4],
        };
        message.set_snapshot(
            (&Snapshot {
                index: LARGE,
                term: LARGE + 1,
                membership,
                data: vec![8; 20],
            })
                .into(),
        );
    }
    message
}

#[test]
fn messages_of_each_kind_are_encoded_byte_for_byte_and_read_back() {
    let mut text = String::new();
    for kind in KINDS {
        let bytes = encode(&message(kind)).expect("it goes between replicas");
        assert_eq!(decode(&bytes), Ok(message(kind)));
        let hex = bytes.iter().fold(String::new(), |mut hex, byte| {
            write!(hex, "{byte:02x}").expect("written");
            hex
        });
        writeln!(text, "{kind:?} {hex}").expect("written");
    }
    golden::assert_same("messages.txt", text.as_bytes());
}

/// A runtime on this thread, and a listener on a port of its own.
fn on_loopback<T>(test: impl AsyncFnOnce(TcpListener) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        tokio::time::timeout(Duration::from_secs(20), test(listener))
            .await
            .expect("in time")
    })
}

#[test]
fn link_carries_a_greeting_and_then_messages_byte_for_byte() {
    let sent = on_loopback(async |listener: TcpListener| {
        let transport = Transport::new("golden", 1, Handle::current());
        let address = listener.local_addr().expect("an address");
        transport.set_addresses(&BTreeMap::from([(
            2,
            ReplicaAddresses {
                peers: address,
                ..addresses()
            },
        )]));
        let (mut link, _) = listener.accept().await.expect("a link");
        transport.send(vec![
            message(MessageType::MsgHeartbeat),
            message(MessageType::MsgAppend),
        ]);
        let mut sent = vec![
            0;
            std::fs::metadata(golden::path("link.bin"))
                .map_or(4096, |file| file.len() as usize)
        ];
        let mut length = 0;
        while length < sent.len() {
            let read =
                tokio::time::timeout(Duration::from_secs(2), link.read(&mut sent[length..])).await;
            match read {
                Ok(read) => length += read.expect("read"),
                Err(_) => break, // the file is written for the first time
            }
        }
        sent.truncate(length);
        sent
    });
    golden::assert_same("link.bin", &sent);
}

#[test]
fn link_of_the_golden_program_is_read() {
    let received = on_loopback(async |listener: TcpListener| {
        let transport = Transport::new("golden", 2, Handle::current());
        let (inputs, received) = sync_channel(8);
        transport.attach(inputs);
        let address = listener.local_addr().expect("an address");
        tokio::spawn(transport.listen(listener));
        let mut link = TcpStream::connect(address).await.expect("connected");
        link.write_all(&std::fs::read(golden::path("link.bin")).expect("the file"))
            .await
            .expect("written");
        let mut messages = Vec::new();
        while messages.len() < 2 {
            match received.try_recv() {
                Ok(ThreadCommand::RaftMessage(message)) => messages.push(message),
                Ok(_) => panic!("another input"),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
        messages
    });
    assert_eq!(
        received,
        [
            message(MessageType::MsgHeartbeat),
            message(MessageType::MsgAppend)
        ]
    );
}
