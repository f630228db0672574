//! Tests of calls whose connection the endpoint closes after any number of bytes, and of abandoned calls.

use super::super::pool::{PoolResources, limits};
use super::answer::ANSWER_REMAINDER_TIMEOUT;
use super::attempt_result::CallResults;
use super::exchange::{CallProgress, REUSE_DELAY, exchange};
use super::*;
use message_sender::Outcome;
use message_sender::pool::CloseReason;
use message_sender::pool::PoolSettings;
use message_sender::{EndpointId, SECOND, Settings};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::timeout;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Returns a context whose pool uses `streams` one after another as the connections that it dials, and a call of one
/// message to its only endpoint.
fn context_and_call(streams: Vec<DuplexStream>) -> (Rc<CallContext>, Call) {
    let settings = Settings {
        connection_idle_timeout: 60 * SECOND,
        ..Settings::new(8, 100)
    };
    let limits = limits(
        &PoolSettings::default(),
        PoolResources::for_tests(),
        &settings,
    );
    let connections = ConnectionPool::with_prepared_streams(streams, limits);
    let target = EndpointAddress {
        address: ([127, 0, 0, 1], 9).into(),
        endpoint: EndpointId(0),
    };
    connections.set_endpoint_enabled(target, true);
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
            target,
            items,
            expires,
            start_by: None,
        },
    )
}

/// Reads until `max_bytes` or the whole request have been read, or the stream ends. The bytes are read one by one from
/// a stream that buffers a single byte, so the other side has written at most one byte more than was read.
async fn read_bytes(stream: &mut DuplexStream, max_bytes: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < max_bytes && !bytes.ends_with(b"\r\n\r\nbody") {
        match stream.read_u8().await {
            Ok(byte) => bytes.push(byte),
            Err(_) => break,
        }
    }
    bytes
}

/// Makes a call whose endpoint reads at most `request_bytes` of the request, writes `answer` and closes the connection.
/// The connection is new, or has carried a call before if `reused` is set. Returns the outcome of the call, the bytes
/// of its request that were received over this connection, and the bytes received over a spare connection, which a
/// further dial would use.
fn call_on_cut_connection(
    reused: bool,
    request_bytes: usize,
    answer: &[u8],
) -> (Outcome, Vec<u8>, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async move {
        let ((pool_side, mut endpoint_side), (spare_pool_side, mut spare_endpoint)) =
            (duplex(1), duplex(1));
        let (context, mut call) = context_and_call(vec![pool_side, spare_pool_side]);
        let close_reason = Rc::new(Cell::new(CloseReason::Cancelled));
        let answer = answer.to_vec();
        let endpoint_task = tokio::task::spawn_local(async move {
            if reused {
                read_bytes(&mut endpoint_side, usize::MAX).await;
                endpoint_side.write_all(ANSWER).await.expect("written");
            }
            let seen = read_bytes(&mut endpoint_side, request_bytes).await;
            let _ = endpoint_side.write_all(&answer).await;
            seen
        });
        let spare_task = tokio::task::spawn_local(async move {
            let seen = read_bytes(&mut spare_endpoint, usize::MAX).await;
            let _ = spare_endpoint.write_all(ANSWER).await;
            seen
        });
        if reused {
            let first = exchange(&context, &call, &close_reason, &CallProgress::default())
                .await
                .results
                .of_item(0);
            assert_eq!(first.outcome(), Outcome::Success);
            assert!(first.proof().is_some());
            // wait until the remainder of the first answer has been read and the connection may carry another call
            tokio::time::sleep(REUSE_DELAY).await;
            // the request states the remaining time, so the wait is added to make both requests equal
            call.expires += REUSE_DELAY;
        }
        let CallResults::Same(result) =
            exchange(&context, &call, &close_reason, &CallProgress::default())
                .await
                .results
        else {
            panic!("a call of one message has a single result");
        };
        let outcome = result.outcome();
        drop(context);
        let seen = endpoint_task
            .await
            .expect("the endpoint task does not panic");
        (
            outcome,
            seen,
            timeout(ANSWER_REMAINDER_TIMEOUT, spare_task)
                .await
                .map_or(Vec::new(), |seen| {
                    seen.expect("the spare task does not panic")
                }),
        )
    })
}

#[test]
fn call_on_connection_cut_at_any_byte_ends_by_bytes_exchanged_and_uses_no_other_connection() {
    let (_, whole_request, _) = call_on_cut_connection(false, usize::MAX, ANSWER);
    assert!(
        whole_request.starts_with(b"POST /inbox HTTP/1.1\r\n") && whole_request.ends_with(b"body")
    );
    for reused in [false, true] {
        for length in 1..=whole_request.len() {
            let (outcome, seen, spare) = call_on_cut_connection(reused, length, b"");
            assert_eq!(
                (seen, spare),
                (whole_request[..length].to_vec(), vec![]),
                "reused {reused}, {length}"
            );
            // the call may end as `NoConnection` (certainly not processed) only if the endpoint read less than the
            // whole request. It may end as `Reset` (possibly processed) only if the whole request was written; since
            // the sender has written at most one byte more than was read, all but the last byte must have been read
            match outcome {
                Outcome::NoConnection => {
                    assert!(length < whole_request.len(), "reused {reused}, {length}")
                }
                Outcome::Reset => assert!(
                    length + 1 >= whole_request.len(),
                    "reused {reused}, {length}"
                ),
                other => panic!("reused {reused}, {length}: {other:?}"),
            }
        }
        for length in 0..=ANSWER.len() {
            let (outcome, seen, spare) =
                call_on_cut_connection(reused, usize::MAX, &ANSWER[..length]);
            assert_eq!(
                (seen, spare),
                (whole_request.clone(), vec![]),
                "reused {reused}, answer {length}"
            );
            let is_line_complete = length >= b"HTTP/1.1 200 OK\r\n".len();
            let expected = if is_line_complete {
                Outcome::Success
            } else {
                Outcome::Reset
            };
            assert_eq!(outcome, expected, "reused {reused}, answer {length}");
        }
    }
}

#[test]
fn call_waiting_for_connection_ends_unsent_on_retry_after() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async move {
        let (pool_side, mut endpoint_side) = duplex(1);
        let (context, call) = context_and_call(vec![pool_side]);
        let close_reason = Rc::new(Cell::new(CloseReason::Cancelled));
        let progress = CallProgress::default();
        let retry_after = async {
            // the call waits for a connection, whose dial is in progress
            context.connections.apply_retry_after(call.target, SECOND);
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let (answer, ()) = tokio::join!(
            timeout(
                ANSWER_REMAINDER_TIMEOUT,
                exchange(&context, &call, &close_reason, &progress)
            ),
            retry_after
        );
        let answer = answer.expect("the call ends at once");
        let CallResults::Same(result) = answer.results else {
            panic!("a call of one message has a single result");
        };
        assert_eq!(result.outcome(), Outcome::NotSent { no_slot: false });
        assert!(result.proof().is_none());
        // the dialled connection stays idle in the pool, and nothing was written to it
        assert!(
            timeout(ANSWER_REMAINDER_TIMEOUT, endpoint_side.read_u8())
                .await
                .is_err()
        );
    });
}

#[test]
fn call_on_idle_connection_closed_before_first_byte_uses_another() {
    // no byte of the call was written, so another connection cannot deliver it twice; a new connection that closes the
    // same way ends the call without a further dial
    let (outcome, seen, spare) = call_on_cut_connection(true, 0, b"");
    assert_eq!((outcome, seen.len()), (Outcome::Success, 0));
    assert!(spare.ends_with(b"body"));
    let (outcome, seen, spare) = call_on_cut_connection(false, 0, b"");
    assert_eq!(
        (outcome, seen.len(), spare.len()),
        (Outcome::NoConnection, 0, 0)
    );
}

/// Guards against reporting the end of an abandoned call before its endpoint can see that end. The next message of the
/// same key, or a backoff counted from that end, would then start too early, by as long as this process is delayed.
#[test]
fn abandoned_call_has_ended_at_endpoint_before_it_is_reported() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    // receives the inputs in a task other than that of the call, as the driver does
    let driver = local.spawn_local(async move {
        for abandoned_as in [Outcome::Cancelled, Outcome::TimedOut] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("bound");
            let settings = Settings {
                connection_idle_timeout: 60 * SECOND,
                ..Settings::new(8, 100)
            };
            let limits = limits(
                &PoolSettings::default(),
                PoolResources::for_tests(),
                &settings,
            );
            let resources = PoolResources::for_tests();
            let connections = ConnectionPool::new(limits, SECOND, resources);
            let target = EndpointAddress {
                address,
                endpoint: EndpointId(0),
            };
            connections.set_endpoint_enabled(target, true);
            let (inputs, mut driver_inputs) = mpsc::unbounded_channel();
            let calls = Calls::new(inputs, connections);
            let id = HeaderValue::from_static("m1");
            let items = vec![Item {
                id,
                key: None,
                body: Bytes::from_static(b"body"),
            }];
            let time_limit_ms = if abandoned_as == Outcome::TimedOut {
                200
            } else {
                20_000
            };
            let expires = Instant::now() + Duration::from_millis(time_limit_ms);
            let (cancels, cancellations) = mpsc::unbounded_channel();
            calls.start(
                Call {
                    number: 0,
                    target,
                    items,
                    expires,
                    start_by: None,
                },
                cancellations,
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
                    Ok(_) => panic!("the connection ended before the whole request was read"),
                    Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
                }
            }
            if abandoned_as == Outcome::Cancelled {
                cancels.send(0).expect("the call is in flight");
            }
            let Some(DriverInput::AttemptEnded(ended)) = driver_inputs.recv().await else {
                panic!("the end of the attempt is not reported")
            };
            assert_eq!(ended.outcome, abandoned_as);
            let read = std::io::Read::read(&mut endpoint, &mut [0]).map_err(|error| error.kind());
            assert_eq!(
                read,
                Ok(0),
                "{abandoned_as:?} was reported before the call had ended"
            );
        }
    });
    local
        .block_on(&runtime.expect("a runtime"), driver)
        .expect("the driver task does not panic");
}

/// Makes two calls over a connection whose endpoint sends `stray` after its first answer, `delay` after it. Returns the
/// outcome of the second call, and whether its request was received over another connection.
fn call_after_stray_bytes(stray: &'static [u8], delay: Duration) -> (Outcome, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async move {
        let ((pool_side, mut endpoint_side), (spare_pool_side, mut spare_endpoint)) =
            (duplex(4096), duplex(4096));
        let (context, call) = context_and_call(vec![pool_side, spare_pool_side]);
        let close_reason = Rc::new(Cell::new(CloseReason::Cancelled));
        tokio::task::spawn_local(async move {
            read_bytes(&mut endpoint_side, usize::MAX).await;
            endpoint_side.write_all(ANSWER).await.expect("written");
            tokio::time::sleep(delay).await;
            let _ = endpoint_side.write_all(stray).await;
            std::future::pending::<()>().await;
        });
        let spare_task = tokio::task::spawn_local(async move {
            let seen = read_bytes(&mut spare_endpoint, usize::MAX).await;
            let _ = spare_endpoint.write_all(ANSWER).await;
            seen
        });
        let progress = CallProgress::default();
        exchange(&context, &call, &close_reason, &progress).await;
        // the results of the call are known; let the remainder of its answer be read
        tokio::task::yield_now().await;
        let second = exchange(&context, &call, &close_reason, &progress);
        let outcome = match timeout(ANSWER_REMAINDER_TIMEOUT, second).await {
            Ok(answer) => answer.results.of_item(0).outcome(),
            Err(_) => Outcome::TimedOut,
        };
        drop(context);
        let seen = timeout(ANSWER_REMAINDER_TIMEOUT, spare_task).await;
        let used_another = seen.is_ok_and(|seen| seen.is_ok_and(|seen| seen.ends_with(b"body")));
        (outcome, used_another)
    })
}

/// Guards against taking bytes that follow an answer for the answer to the next call, which its endpoint has not seen
/// then.
#[test]
fn bytes_straight_after_answer_are_not_answer_of_next_call() {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    for stray in [ANSWER, REFUSAL, b"\r\n", b"noise"] {
        for delay in [Duration::ZERO, REUSE_DELAY / 2] {
            let result = call_after_stray_bytes(stray, delay);
            let text = String::from_utf8_lossy(stray);
            assert_eq!(result, (Outcome::Success, true), "{text:?} after {delay:?}");
        }
    }
}
