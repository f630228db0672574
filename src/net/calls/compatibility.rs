//! Compatibility tests: requests to endpoints must match the recorded bytes, and recorded answers must be interpreted
//! as before.

use super::Item;
use super::answer::{BulkText, bulk_results, read_load_report};
use super::attempt_result::AttemptResult;
use super::request::{CallRequest, call_request};
use super::retry_after::RetryAfter;
use crate::net::http_golden as golden;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use std::time::Duration;
use tokio::time::Instant;

fn item(id: &'static str, key: Option<&'static str>, body: &'static [u8]) -> Item {
    let key = key.map(HeaderValue::from_static);
    Item {
        id: HeaderValue::from_static(id),
        key,
        body: Bytes::from_static(body),
    }
}

/// Returns a text with the computed lower bound of the request's size in bytes, followed by the request of a call with
/// `items` as hyper writes it.
fn written_request(items: &[Item]) -> String {
    let address = ([10, 1, 2, 3], 8000).into();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let (min_bytes, bytes) = runtime.expect("a runtime").block_on(async move {
        let expires = Instant::now() + Duration::from_millis(1234);
        let CallRequest { request, min_bytes } =
            call_request(address, items, expires).expect("it can be written");
        let (sender_side, mut endpoint_side) = tokio::io::duplex(4096);
        let handshake =
            hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(sender_side));
        let (mut sender, connection) = handshake.await.expect("a connection");
        tokio::spawn(connection);
        tokio::spawn(async move { sender.send_request(request).await });
        let mut bytes = vec![0; usize::try_from(min_bytes).expect("short")];
        tokio::io::AsyncReadExt::read_exact(&mut endpoint_side, &mut bytes)
            .await
            .expect("at least min_bytes are written");
        (min_bytes, bytes)
    });
    format!(
        "{min_bytes} bytes\n{}\n",
        String::from_utf8(bytes)
            .expect("text")
            .replace("\r\n", "\n")
    )
}

fn encoded_results(results: &[AttemptResult]) -> String {
    let encoded = |result: &AttemptResult| {
        format!(
            "{:?}",
            postcard::to_allocvec(&(result.outcome(), result.proof().is_some())).expect("encoded")
        )
    };
    results.iter().map(encoded).collect::<Vec<_>>().join(" ")
}

#[test]
fn requests_to_endpoints_match_recorded_bytes() {
    let mut text = String::new();
    for items in [
        vec![item("m1", Some("key-1"), b"body\n")],
        vec![item("m1", None, b"")],
        vec![
            item("m1", Some("key-1"), b"body\n"),
            item("m2", None, b"more"),
        ],
    ] {
        text += &written_request(&items);
    }
    golden::compare("endpoint_requests.txt", &text);
}

#[test]
fn answers_of_endpoints_are_interpreted_as_recorded() {
    let items = ["m1", "m2", "m3", "m4", "m5", "m6"].map(|id| item(id, None, b""));
    let text = b"m2 later\r\nm1 ok\nm3 gone\nm4 exhausted \nm6 what\nm9 ok\n";
    let answer = BulkText {
        text,
        is_length_known: true,
    };
    let mut results = encoded_results(&bulk_results(answer, &items, Some(5000)))
        + "\n"
        + &encoded_results(&bulk_results(answer, &items, None))
        + "\n";
    for wait in ["1", "0.0015", " 3 ", "-1", "soon", "99999999", "nan", "0"] {
        let headers = HeaderMap::from_iter([(RETRY_AFTER, HeaderValue::from_static(wait))]);
        results += &format!(
            "Retry-After {wait}: {:?}\n",
            RetryAfter::read(&headers).delay()
        );
    }
    let fields = ["x0".to_string(), "x1".to_string()];
    for report in [
        "x0=1,x1=2.5",
        "x1=2, x0=-1e3,y=7",
        "x0=1",
        "x0=nan,x1=1",
        "x0=1,x1",
    ] {
        let name = hyper::header::HeaderName::from_static("x-server-load");
        let headers = HeaderMap::from_iter([(name, HeaderValue::from_static(report))]);
        results += &format!("{report}: {:?}\n", read_load_report(&headers, &fields));
    }
    golden::compare("endpoint_answers.txt", &results);
}
