//! Tests of answers that refuse a call. The endpoint has executed the call all the same if its answer is spoilt, so a
//! message that must not be executed twice may be sent again only after an answer that is complete and that the protocol
//! defines.

mod node;

use node::fragments::*;
use node::*;

/// Length in bytes that the spoilt answers announce for their body; fewer bytes are sent.
const ANNOUNCED_LENGTH: usize = 64;
/// Length of a body that the protocol does not allow, in bytes.
const EXCESSIVE_LENGTH: usize = 64 * 1024 + 1;

/// What may follow a spoilt answer on its connection.
const ENDS_OF_CONNECTION: [AfterFragment; 3] = [
    AfterFragment::Close,
    AfterFragment::Reset,
    AfterFragment::Silence,
];

/// Refusal with its name, which becomes part of a message id.
struct Refusal {
    name: &'static str,
    bytes: Vec<u8>,
}

fn refusal(name: &'static str, text: impl Into<String>) -> Refusal {
    Refusal {
        name,
        bytes: text.into().into_bytes(),
    }
}

/// Returns a refusal with this head, of whose announced body only a part is sent.
fn cut(name: &'static str, head: &str) -> Refusal {
    refusal(
        name,
        format!("HTTP/1.1 {head}\r\nContent-Length: {ANNOUNCED_LENGTH}\r\n\r\nshut"),
    )
}

/// Returns refusals whose body breaks off.
fn cut_refusals() -> Vec<Refusal> {
    vec![
        cut("429", "429 Too Many Requests\r\nRetry-After: 0.05"),
        cut("503", "503 Service Unavailable"),
        cut(
            "503-slots-taken",
            "503 Service Unavailable\r\nSlots-Taken: 1",
        ),
        cut("504", "504 Gateway Timeout"),
        refusal(
            "503-chunk-cut",
            "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nshut",
        ),
        refusal(
            "503-no-last-chunk",
            "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nshut\r\n",
        ),
        refusal(
            "503-no-length",
            "HTTP/1.1 503 Service Unavailable\r\n\r\nshut",
        ),
        refusal("503-no-length-or-body", "HTTP/1.1 503 Full\r\n\r\n"),
    ]
}

/// Returns refusals that are whole, but not as the protocol defines them.
fn undefined_refusals() -> Vec<Refusal> {
    let too_many = |name, header: &str| {
        refusal(
            name,
            format!("HTTP/1.1 429 Too Many Requests\r\n{header}Content-Length: 0\r\n\r\n"),
        )
    };
    vec![
        too_many("429-without-wait", ""),
        too_many("429-wait-0.4x7", "Retry-After: 0.4x7\r\n"),
        too_many("429-wait-empty", "Retry-After:\r\n"),
        too_many("429-wait-nan", "Retry-After: nan\r\n"),
        too_many("429-wait-negative", "Retry-After: -1\r\n"),
        too_many("429-wait-exponent", "Retry-After: 1e-2\r\n"),
        too_many(
            "429-two-waits",
            "Retry-After: 0.01\r\nRetry-After: 0.02\r\n",
        ),
        refusal(
            "503-bad-chunk",
            "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nshut\r\n0\r\n\r\n",
        ),
        refusal(
            "503-two-lengths",
            "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\nshut",
        ),
        refusal(
            "503-body-too-long",
            format!(
                "HTTP/1.1 503 Full\r\nContent-Length: {EXCESSIVE_LENGTH}\r\n\r\n{}",
                "x".repeat(EXCESSIVE_LENGTH)
            ),
        ),
        refusal(
            "503-http-1.0",
            "HTTP/1.0 503 Full\r\nContent-Length: 0\r\n\r\n",
        ),
    ]
}

/// Returns refusals that are complete and that the protocol defines.
fn complete_refusals() -> Vec<Refusal> {
    vec![
        refusal(
            "429",
            "HTTP/1.1 429 Full\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n",
        ),
        refusal(
            "429-no-delay",
            "HTTP/1.1 429 Full\r\nRetry-After: 0\r\nContent-Length: 4\r\n\r\nshut",
        ),
        refusal("503", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"),
        refusal(
            "503-body",
            "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nshut",
        ),
        refusal(
            "503-chunked",
            "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nshut\r\n0\r\n\r\n",
        ),
        refusal(
            "503-slots-taken",
            "HTTP/1.1 503 Full\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n",
        ),
        refusal(
            "503-more-behind",
            "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        ),
        refusal("504", "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"),
    ]
}

/// Submits one message of a class that must not be executed twice for each refusal, which answers its first call.
/// Returns the ids.
fn submit_refused(
    node: &Node,
    endpoint: &FragmentingEndpoint,
    refusals: Vec<(Refusal, AfterFragment)>,
) -> Vec<String> {
    let submit = |(destination, (refusal, then)): (usize, (Refusal, AfterFragment))| {
        let id = format!("{}-{then:?}", refusal.name);
        let bytes = refusal.bytes;
        endpoint.break_off(&id, Fragment { bytes, then });
        let destination = destination as u64;
        let status = node.submit("order", &id, destination, UNREACHED_TIME_LIMIT_MS, b"body");
        assert_eq!(status, 202, "{id}");
        id
    };
    refusals.into_iter().enumerate().map(submit).collect()
}

/// Guards against sending a charge twice: the endpoint has executed it, and of its refusal only a part arrives.
#[test]
fn refusal_that_breaks_off_proves_nothing_and_message_is_not_sent_again() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 60);
    let node = sender(&agent);
    let mut cases = Vec::new();
    for then in ENDS_OF_CONNECTION {
        cases.extend(cut_refusals().into_iter().map(|refusal| (refusal, then)));
    }
    let ids = submit_refused(&node, &endpoint, cases);
    assert_delivered_or_notified(&node, &agent, &endpoint, &ids);
    for id in &ids {
        assert_eq!(endpoint.calls(id), 1, "calls with {id}");
        assert!(is_notified(&agent, id), "{id}");
    }
}

/// Guards against dropping a message without its notification: an answer that breaks off is no end, also where its head
/// says that the message is over.
#[test]
fn answer_410_that_breaks_off_is_no_end() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 60);
    let node = sender(&agent);
    let cases = ENDS_OF_CONNECTION.map(|then| (cut("410", "410 Gone"), then));
    let ids = submit_refused(&node, &endpoint, cases.into());
    assert_delivered_or_notified(&node, &agent, &endpoint, &ids);
    for id in &ids {
        assert_eq!(endpoint.calls(id), 1, "calls with {id}");
    }
}

/// Guards against sending a charge twice: the endpoint has executed it, and its refusal can't be read as the protocol
/// defines it.
#[test]
fn refusal_that_protocol_does_not_define_proves_nothing_and_message_is_not_sent_again() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 60);
    let node = sender(&agent);
    let cases = undefined_refusals()
        .into_iter()
        .map(|refusal| (refusal, AfterFragment::Silence));
    let ids = submit_refused(&node, &endpoint, cases.collect());
    assert_delivered_or_notified(&node, &agent, &endpoint, &ids);
    for id in &ids {
        assert_eq!(endpoint.calls(id), 1, "calls with {id}");
        assert!(is_notified(&agent, id), "{id}");
    }
}

/// Guards against the opposite fault: a message that was surely not executed is given up.
#[test]
fn complete_refusal_proves_that_message_may_be_sent_again() {
    let endpoint = FragmentingEndpoint::new();
    let agent = agent_with_destinations(endpoint.address, "one", 60);
    let node = sender(&agent);
    let mut cases = Vec::new();
    for then in [AfterFragment::Silence, AfterFragment::Close] {
        cases.extend(
            complete_refusals()
                .into_iter()
                .map(|refusal| (refusal, then)),
        );
    }
    let ids = submit_refused(&node, &endpoint, cases);
    assert_delivered_or_notified(&node, &agent, &endpoint, &ids);
    for id in &ids {
        assert_eq!(endpoint.calls(id), 2, "calls with {id}");
        assert!(endpoint.has_delivered(id), "{id}");
    }
}
