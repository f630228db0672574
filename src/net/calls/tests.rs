//! A call cut at any byte.

use super::super::pool::limits;
use super::answer::{AttemptResult, CallResults, REST_OF_ANSWER_TIME};
use super::exchange::{CallProgress, exchange};
use super::*;
use message_sender::Outcome;
use message_sender::pool::CloseReason;
use message_sender::pool::PoolSettings;
use message_sender::{EndpointId, SECOND, Settings};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::timeout;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn shared(streams: Vec<DuplexStream>) -> (Rc<CallContext>, Call) {
    let settings = Settings {
        connection_idle_timeout: 60 * SECOND,
        ..Settings::new(8, 100)
    };
    let limits = limits(&PoolSettings::default(), 100, &settings);
    let connections = ConnectionPool::ready(streams, limits);
    let place = EndpointAddress {
        address: ([127, 0, 0, 1], 9).into(),
        endpoint: EndpointId(0),
    };
    connections.set_serving(place, true);
    let calls = Calls::new(mpsc::unbounded_channel().0, connections);
    let id = HeaderValue::from_static("m1");
    let items = vec![Item {
        id,
        key: None,
        body: Bytes::from_static(b"body"),
    }];
    let expires = Instant::now() + Duration::from_secs(10);
    (
        calls.0,
        Call {
            number: 0,
            target: place,
            items,
            expires,
            start_by: None,
        },
    )
}

/// Reads up to so many bytes, one at a time, so that the other side has written one more at most.
async fn read_bytes(stream: &mut DuplexStream, most: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < most && !bytes.ends_with(b"\r\n\r\nbody") {
        match stream.read_u8().await {
            Ok(byte) => bytes.push(byte),
            Err(_) => break,
        }
    }
    bytes
}

/// A call whose endpoint reads so many bytes of the request and writes so many of the answer, on a new
/// connection or on one that has carried a call; its outcome and all that the endpoint and a spare one saw.
fn cut(reused: bool, request: usize, answer: &[u8]) -> (Outcome, Vec<u8>, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async move {
        let ((here, mut there), (spare, mut beyond)) = (duplex(1), duplex(1));
        let (shared, mut call) = shared(vec![here, spare]);
        let end = Rc::new(Cell::new(CloseReason::Cancelled));
        let answer = answer.to_vec();
        let endpoint = tokio::task::spawn_local(async move {
            if reused {
                read_bytes(&mut there, usize::MAX).await;
                there.write_all(ANSWER).await.expect("taken");
            }
            let seen = read_bytes(&mut there, request).await;
            let _ = there.write_all(&answer).await;
            seen
        });
        let other = tokio::task::spawn_local(async move {
            let seen = read_bytes(&mut beyond, usize::MAX).await;
            let _ = beyond.write_all(ANSWER).await;
            seen
        });
        if reused {
            assert!(matches!(
                exchange(&shared, &call, &end, &CallProgress::default())
                    .await
                    .results,
                CallResults::Same(AttemptResult {
                    outcome: Outcome::Success,
                    proof: Some(_)
                })
            ));
            // the rest of that answer is read and its connection given back
            tokio::time::sleep(Duration::from_millis(1)).await;
            call.expires += Duration::from_millis(1); // the request says how long is left
        }
        let CallResults::Same(AttemptResult { outcome, .. }) =
            exchange(&shared, &call, &end, &CallProgress::default())
                .await
                .results
        else {
            panic!("one message has one end");
        };
        drop(shared);
        let seen = endpoint.await.expect("it ends");
        (
            outcome,
            seen,
            timeout(REST_OF_ANSWER_TIME, other)
                .await
                .map_or(Vec::new(), |seen| seen.expect("it ends")),
        )
    })
}

#[test]
fn a_call_cut_at_any_byte_has_the_tables_outcome_and_goes_over_one_connection() {
    let (_, whole, _) = cut(false, usize::MAX, ANSWER);
    assert!(whole.starts_with(b"POST /inbox HTTP/1.1\r\n") && whole.ends_with(b"body"));
    for reused in [false, true] {
        for length in 1..=whole.len() {
            let (outcome, seen, spare) = cut(reused, length, b"");
            assert_eq!(
                (seen, spare),
                (whole[..length].to_vec(), vec![]),
                "reused {reused}, {length}"
            );
            // whoever read less than all can't have run it, and one byte more was on its way at most
            match outcome {
                Outcome::NoConnection => assert!(length < whole.len(), "reused {reused}, {length}"),
                Outcome::Reset => assert!(length + 1 >= whole.len(), "reused {reused}, {length}"),
                other => panic!("reused {reused}, {length}: {other:?}"),
            }
        }
        for length in 0..=ANSWER.len() {
            let (outcome, seen, spare) = cut(reused, usize::MAX, &ANSWER[..length]);
            assert_eq!(
                (seen, spare),
                (whole.clone(), vec![]),
                "reused {reused}, answer {length}"
            );
            let is_line_whole = length >= b"HTTP/1.1 200 OK\r\n".len();
            let wanted = if is_line_whole {
                Outcome::Success
            } else {
                Outcome::Reset
            };
            assert_eq!(outcome, wanted, "reused {reused}, answer {length}");
        }
    }
}

#[test]
fn a_call_without_a_connection_ends_unsent_once_its_destination_tells_to_wait() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async move {
        let (here, mut there) = duplex(1);
        let (shared, call) = shared(vec![here]);
        let end = Rc::new(Cell::new(CloseReason::Cancelled));
        let under = CallProgress::default();
        let told = async {
            // the call has asked, its dial is under way
            shared.connections.apply_retry_after(call.target, SECOND);
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let (answer, ()) = tokio::join!(
            timeout(REST_OF_ANSWER_TIME, exchange(&shared, &call, &end, &under)),
            told
        );
        let answer = answer.expect("it has its end at once");
        assert!(matches!(
            answer.results,
            CallResults::Same(AttemptResult {
                outcome: Outcome::NotSent { no_slot: false },
                proof: None
            })
        ));
        // the connection came up and stays idle, with nothing written
        assert!(timeout(REST_OF_ANSWER_TIME, there.read_u8()).await.is_err());
    });
}

#[test]
fn a_call_on_a_connection_that_closed_before_its_first_byte_takes_another() {
    // nothing of it was written, so this is no second time; a new one that closes so is none to be had
    let (outcome, seen, spare) = cut(true, 0, b"");
    assert_eq!((outcome, seen.len()), (Outcome::Success, 0));
    assert!(spare.ends_with(b"body"));
    let (outcome, seen, spare) = cut(false, 0, b"");
    assert_eq!(
        (outcome, seen.len(), spare.len()),
        (Outcome::NoConnection, 0, 0)
    );
}

/// Fails where the endpoint could still take the call for being under way once its end is told: what follows in the order
/// of a key, or rests from that end on, would come too early by as long as this process is held up.
#[test]
fn a_given_up_call_has_ended_at_its_endpoint_before_that_is_told() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    // a task beside the call's, as the driver is
    let listening = local.spawn_local(async move {
        for give_up in [Outcome::Cancelled, Outcome::TimedOut] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("bound");
            let settings = Settings {
                connection_idle_timeout: 60 * SECOND,
                ..Settings::new(8, 100)
            };
            let limits = limits(&PoolSettings::default(), 100, &settings);
            let means = crate::net::pool::PoolResources {
                descriptors: 100,
                seed: 1,
            };
            let connections = ConnectionPool::new(limits, SECOND, means);
            let place = EndpointAddress {
                address,
                endpoint: EndpointId(0),
            };
            connections.set_serving(place, true);
            let (inputs, mut told) = mpsc::unbounded_channel();
            let calls = Calls::new(inputs, connections);
            let id = HeaderValue::from_static("m1");
            let items = vec![Item {
                id,
                key: None,
                body: Bytes::from_static(b"body"),
            }];
            let left = if give_up == Outcome::TimedOut {
                200
            } else {
                20_000
            };
            let expires = Instant::now() + Duration::from_millis(left);
            let (cancels, cancelled) = mpsc::unbounded_channel();
            calls.start(
                Call {
                    number: 0,
                    target: place,
                    items,
                    expires,
                    start_by: None,
                },
                cancelled,
            );
            let accepted =
                tokio::task::spawn_blocking(move || listener.accept().expect("a call").0);
            let mut endpoint = accepted.await.expect("accepted");
            endpoint.set_nonblocking(true).expect("set");
            let mut seen = Vec::new();
            while !seen.ends_with(b"\r\n\r\nbody") {
                let mut byte = [0];
                match std::io::Read::read(&mut endpoint, &mut byte) {
                    Ok(1) => seen.push(byte[0]),
                    Ok(_) => panic!("it ended before its last byte"),
                    Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
                }
            }
            if give_up == Outcome::Cancelled {
                cancels.send(0).expect("it is out");
            }
            let Some(DriverInput::AttemptEnded(ended)) = told.recv().await else {
                panic!("no end")
            };
            assert_eq!(ended.outcome, give_up);
            let read = std::io::Read::read(&mut endpoint, &mut [0]).map_err(|error| error.kind());
            assert_eq!(
                read,
                Ok(0),
                "{give_up:?} was told before the call had ended"
            );
        }
    });
    local
        .block_on(&runtime.expect("a runtime"), listening)
        .expect("it held");
}
