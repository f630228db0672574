//! Parses the path, query and headers of a client's request.

use super::ClassEntry;
use super::error::RequestError;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request};
use message_sender::{MILLISECOND, Micros};

/// Maximum length in bytes of a message id, idempotency key, subject or tenant name.
const MAX_IDENTIFIER_BYTES: usize = 256;
/// Maximum time limit of a message in microseconds, seven days; longer ones are cut to it.
const MAX_TIME_LIMIT_US: u64 = 7 * 86_400_000_000;

/// Properties of a message that its request gives beside the body.
#[derive(Debug)]
pub(super) struct MessageHead {
    pub(super) id: HeaderValue,
    pub(super) key: Option<HeaderValue>,
    pub(super) subject: Option<String>,
    pub(super) tenant: Option<String>,
    /// Position of the message's class in the settings.
    pub(super) class: usize,
    pub(super) destination: u64,
    /// Time in microseconds, from the arrival of the request, within which the message must be delivered.
    pub(super) time_limit: Micros,
    /// True if the client has submitted the message before (`X-Retried` is present).
    pub(super) resubmitted: bool,
    /// True if `X-Retried` is `again`: the client submits the message again because the sender to which it had
    /// submitted the message before failed or did not answer.
    pub(super) previous_sender_failed: bool,
}

impl MessageHead {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// The request's path, method or class is wrong, or a header or parameter is missing, repeated or invalid. If
    /// several checks fail, the client gets the error of the first one.
    pub(super) fn read<B>(
        request: &Request<B>,
        classes: &[ClassEntry],
    ) -> Result<Self, RequestError> {
        let headers = request.headers();
        let class = read_class(request, classes)?;
        let id = identifier(single(headers, "x-request-id", "X-Request-ID")?)?
            .ok_or(RequestError::MissingHeader("X-Request-ID"))?;
        let key = identifier(single(headers, "idempotency-key", "Idempotency-Key")?)?;
        if key.is_none() && class.key_required {
            return Err(RequestError::MissingHeader("Idempotency-Key"));
        }
        let time_limit = required(headers, "x-timeout", "X-Timeout")?
            .to_str()
            .ok()
            .and_then(parse_time_limit)
            .ok_or(RequestError::InvalidTimeout)?;
        let destination = required(headers, "envelope", "Envelope")?
            .to_str()
            .ok()
            .and_then(parse_destination)
            .ok_or(RequestError::InvalidDestination)?;
        let subject = parse_subject(request.uri().query())?.map(str::to_string);
        let tenant = read_tenant(headers)?;
        let retried = single(headers, "x-retried", "X-Retried")?;
        Ok(MessageHead {
            id: detached(id),
            key: key.map(detached),
            subject,
            tenant,
            class: class.index,
            destination,
            time_limit,
            resubmitted: retried.is_some(),
            previous_sender_failed: retried.is_some_and(|value| value == "again"),
        })
    }
}

/// Returns the message class, which the request's path and its `X-Priority-Class` header must both name.
fn read_class<'a, B>(
    request: &Request<B>,
    classes: &'a [ClassEntry],
) -> Result<&'a ClassEntry, RequestError> {
    let path = request.uri().path();
    let path_class = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let header_class = single(request.headers(), "x-priority-class", "X-Priority-Class")?;
    let header_matches = header_class.is_some_and(|name| name == path_class);
    let Some(class) = classes.iter().find(|class| class.name == path_class) else {
        return Err(if header_matches {
            RequestError::UnknownClass
        } else {
            RequestError::UnknownPath
        });
    };
    if request.method() != Method::POST {
        return Err(RequestError::OnlyPost);
    }
    if !header_matches {
        return Err(RequestError::ClassMismatch);
    }
    Ok(class)
}

/// Returns the tenant of the message. An overlong or non-text value counts as no tenant.
fn read_tenant(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let tenant = single(headers, "x-tenant-id", "X-Tenant-Id")?;
    Ok(tenant
        .and_then(|value| value.to_str().ok())
        .filter(|name| name.len() <= MAX_IDENTIFIER_BYTES)
        .map(str::to_string))
}

/// Returns the single value of a required header; `display_name` is its name in error texts.
fn required<'a>(
    headers: &'a HeaderMap,
    name: &str,
    display_name: &'static str,
) -> Result<&'a HeaderValue, RequestError> {
    single(headers, name, display_name)?.ok_or(RequestError::MissingHeader(display_name))
}

/// Returns the value of an optional header. A repeated header is rejected, since its values may contradict each other;
/// `display_name` is its name in error texts.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
    display_name: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        Err(RequestError::RepeatedHeader(display_name))
    } else {
        Ok(value)
    }
}

/// Checks a message id or idempotency key. Both are written into the space-separated item lines of bulk requests, so
/// only visible ASCII without spaces is valid.
fn identifier(value: Option<&HeaderValue>) -> Result<Option<&HeaderValue>, RequestError> {
    let Some(value) = value else { return Ok(None) };
    let is_visible = value.as_bytes().iter().all(u8::is_ascii_graphic);
    if is_visible && (1..=MAX_IDENTIFIER_BYTES).contains(&value.len()) {
        Ok(Some(value))
    } else {
        Err(RequestError::InvalidIdentifier)
    }
}

/// Returns a copy of a header value. The original shares the connection's read buffer, and would keep the whole buffer
/// in memory as long as the value is used: the key while the message is pending, and the id beyond that, since the ids
/// of delivered messages are remembered to recognise resubmissions.
fn detached(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Parses the value of `X-Timeout`, a number with the unit `m` (milliseconds) or `u` (microseconds), and returns
/// microseconds.
fn parse_time_limit(text: &str) -> Option<Micros> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => MILLISECOND as u64,
        "u" => 1,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let value: u64 = digits.parse().ok()?;
    Micros::try_from(value.saturating_mul(unit).min(MAX_TIME_LIMIT_US)).ok()
}

/// Returns the `subject` parameter of the query, the key by which ordered classes order their messages. An empty value
/// counts as none.
fn parse_subject(query: Option<&str>) -> Result<Option<&str>, RequestError> {
    let mut values = query
        .unwrap_or("")
        .split('&')
        .filter_map(|pair| pair.strip_prefix("subject="));
    let value = values.next().filter(|value| !value.is_empty());
    if values.next().is_some() || value.is_some_and(|value| value.len() > MAX_IDENTIFIER_BYTES) {
        return Err(RequestError::InvalidSubject);
    }
    Ok(value)
}

/// Parses the destination from the `dest=` parameter of the `Envelope` header. Numbers of more than 16 bits are
/// invalid: clients can address only destinations below 65,536, although endpoint lists may contain larger numbers.
fn parse_destination(text: &str) -> Option<u64> {
    let mut values = text
        .split([';', ','])
        .filter_map(|part| part.trim().strip_prefix("dest="));
    let value = values.next()?;
    if values.next().is_some() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse::<u16>().ok().map(u64::from)
}
