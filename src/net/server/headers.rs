//! What a client's request says of its message, read from its path, query and headers.

use super::ClassEntry;
use super::error::RequestError;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request};
use message_sender::{MILLISECOND, Micros};

/// Longest id, key, subject or name of a tenant.
const MAX_IDENTIFIER_BYTES: usize = 256;
/// A longer time to deliver is cut to this, in microseconds.
const MAX_TIME_LIMIT: u64 = 7 * 86_400_000_000;

/// A message as its request's head describes it.
#[derive(Debug)]
pub(super) struct MessageHead {
    pub(super) id: HeaderValue,
    pub(super) key: Option<HeaderValue>,
    pub(super) subject: Option<String>,
    pub(super) tenant: Option<String>,
    /// Position of its class in the settings.
    pub(super) class: usize,
    pub(super) destination: u64,
    /// Time to deliver it, from when the request came.
    pub(super) time_limit: Micros,
    /// The client submits it once more.
    pub(super) again: bool,
    /// The client that first submitted it is gone.
    pub(super) orphan: bool,
}

impl MessageHead {
    /// Reads a request's head.
    ///
    /// # Errors
    /// The first thing that is missing, repeated or invalid, in the order of the checks below.
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
            again: retried.is_some(),
            orphan: retried.is_some_and(|value| value == "again"),
        })
    }
}

/// The class that the path and the header both name.
fn read_class<'a, B>(
    request: &Request<B>,
    classes: &'a [ClassEntry],
) -> Result<&'a ClassEntry, RequestError> {
    let path = request.uri().path();
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let named = single(request.headers(), "x-priority-class", "X-Priority-Class")?;
    let is_named = named.is_some_and(|name| name == first);
    let Some(class) = classes.iter().find(|class| class.name == first) else {
        return Err(if is_named {
            RequestError::UnknownClass
        } else {
            RequestError::UnknownPath
        });
    };
    if request.method() != Method::POST {
        return Err(RequestError::OnlyPost);
    }
    if !is_named {
        return Err(RequestError::ClassMismatch);
    }
    Ok(class)
}

/// The tenant; one that can't be read is none.
fn read_tenant(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let tenant = single(headers, "x-tenant-id", "X-Tenant-Id")?;
    Ok(tenant
        .and_then(|value| value.to_str().ok())
        .filter(|name| name.len() <= MAX_IDENTIFIER_BYTES)
        .map(str::to_string))
}

/// The header's only value, which must be there.
fn required<'a>(
    headers: &'a HeaderMap,
    name: &str,
    shown: &'static str,
) -> Result<&'a HeaderValue, RequestError> {
    single(headers, name, shown)?.ok_or(RequestError::MissingHeader(shown))
}

/// The header's only value; a repeated one is rejected, since nobody can tell which was meant.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
    shown: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        Err(RequestError::RepeatedHeader(shown))
    } else {
        Ok(value)
    }
}

/// An id or key goes into the lines of bulk calls, so it is visible text without spaces.
fn identifier(value: Option<&HeaderValue>) -> Result<Option<&HeaderValue>, RequestError> {
    let Some(value) = value else { return Ok(None) };
    let visible = value.as_bytes().iter().all(u8::is_ascii_graphic);
    if visible && (1..=MAX_IDENTIFIER_BYTES).contains(&value.len()) {
        Ok(Some(value))
    } else {
        Err(RequestError::InvalidIdentifier)
    }
}

/// A copy of its own: what came is a part of the connection's read buffer and would keep all of it in memory
/// for as long as the message is pending, and its id for long after.
fn detached(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
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
    Micros::try_from(value.saturating_mul(unit).min(MAX_TIME_LIMIT)).ok()
}

/// The query's `subject`, by which ordered classes order their messages; an empty one is none.
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

/// Destinations have small numbers: one beyond 16 bits is none that a list will ever name.
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
