//! Calls of one message and of several, as endpoints read and answer them.

use hyper::Method;
use hyper::http::request::Parts;

/// The ids of a call's messages; none where the request is no call.
pub fn message_ids(head: &Parts, body: &[u8]) -> Vec<String> {
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/inbox") => {
            let id = head.headers.get("x-request-id");
            let id = id.and_then(|id| id.to_str().ok());
            id.map(str::to_string).into_iter().collect()
        }
        (&Method::POST, "/inbox/bulk") => bulk_ids(body),
        _ => Vec::new(),
    }
}

/// The ids in the body of a bulk call: for each message a line with its id, key and length, and its body.
fn bulk_ids(mut rest: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let mut words = line.split(' ');
        let id = words.next().unwrap_or_default().to_string();
        let Some(length) = words.nth(1).and_then(|length| length.parse::<usize>().ok()) else {
            return Vec::new();
        };
        ids.push(id);
        rest = rest.get(end + 2 + length + 2..).unwrap_or_default();
    }
    ids
}

/// The body of the answer to a call that was executed.
pub fn bulk_answer(ids: &[String]) -> String {
    match ids {
        [_] => String::new(),
        _ => ids.iter().map(|id| format!("{id} ok\r\n")).collect(),
    }
}

#[cfg(test)]
mod tests;
