//! Builds the HTTP request of a call: a single message is the body of a plain request, several form a bulk request.

use super::Item;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Upper bound of the bytes that separators and the length field add to each message of a bulk request.
const BULK_ITEM_OVERHEAD: usize = 16;

/// Request that is ready to be sent.
#[derive(Debug)]
pub(super) struct CallRequest {
    pub(super) request: Request<Full<Bytes>>,
    /// Lower bound of the request's size on the wire, in bytes. If fewer bytes were written, the endpoint has not
    /// received the whole request and cannot have processed it.
    pub(super) min_bytes: u64,
}

/// Builds the request of a call; `None` if its parts do not form a valid HTTP request.
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

/// Returns a lower bound of the bytes that the request's head takes on the wire.
fn head_bytes(request: &Request<Full<Bytes>>) -> u64 {
    let line_bytes = "POST  HTTP/1.1\r\n\r\n".len() + request.uri().path().len();
    let header_bytes: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line_bytes + header_bytes) as u64
}

/// Returns an upper bound of the bytes that a message takes in the body of a bulk request.
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
