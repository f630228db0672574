//! The request of a call: one message as it is, several as a bulk request.

use super::Item;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Bytes of a bulk item beside its id, its key and its body, at most.
const BULK_ITEM_OVERHEAD: usize = 16;

/// A request that is ready to be sent.
#[derive(Debug)]
pub(super) struct CallRequest {
    pub(super) request: Request<Full<Bytes>>,
    /// The fewest bytes that it takes on the wire.
    pub(super) min_bytes: u64,
}

/// The request of a call; none if it cannot be written.
pub(super) fn call_request(
    address: SocketAddr,
    items: &[Item],
    expires: Instant,
) -> Option<CallRequest> {
    let (path, body) = match items {
        [item] => ("/inbox", item.body.clone()),
        _ => ("/inbox/bulk", bulk_body(items)),
    };
    let time_left = expires.saturating_duration_since(Instant::now());
    let millis_left = time_left.as_millis().max(1);
    let body_bytes = body.len() as u64;
    let mut request = Request::post(path)
        .header(HOST, address.to_string())
        .header("x-timeout", format!("{millis_left}m"))
        .header("content-length", body_bytes);
    if let [item] = items {
        request = request.header("x-request-id", item.id.clone());
        if let Some(key) = &item.key {
            request = request.header("idempotency-key", key.clone());
        }
    }
    let request = request.body(Full::new(body)).ok()?;
    let min_bytes = head_bytes(&request) + body_bytes;
    Some(CallRequest { request, min_bytes })
}

/// The fewest bytes that a request's head takes.
fn head_bytes(request: &Request<Full<Bytes>>) -> u64 {
    let line = "POST  HTTP/1.1\r\n\r\n".len() + request.uri().path().len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line + headers) as u64
}

/// Bytes that a message takes in the body of a bulk request, at most.
pub fn bulk_size(item: &Item) -> usize {
    let key = item.key.as_ref().map_or("-".len(), HeaderValue::len);
    item.id.len() + key + item.body.len() + BULK_ITEM_OVERHEAD
}

fn bulk_body(items: &[Item]) -> Bytes {
    let mut body = Vec::new();
    for item in items {
        let key = item.key.as_ref().map_or(&b"-"[..], |key| key.as_bytes());
        body.extend_from_slice(item.id.as_bytes());
        body.push(b' ');
        body.extend_from_slice(key);
        body.extend_from_slice(format!(" {}\r\n", item.body.len()).as_bytes());
        body.extend_from_slice(&item.body);
        body.extend_from_slice(b"\r\n");
    }
    body.into()
}
