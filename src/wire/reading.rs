//! Parses the lines of a batch into events.

use super::base64::decode;
use super::fields::{Fault, Fields, fault, outcome, parse_number, parse_whole};
use super::instance::Instance;
use super::numbered::NameNumbers;
use super::settings::{Names, position};
use crate::interface::{
    EndpointEntry, EndpointId, EndpointStatus, Event, ListScope, MessageId, Micros, NewMessage,
};
use std::collections::BTreeMap;

/// First words of all lines in a batch, except `manifest` and `row`, which define endpoint lists.
pub(super) const EVENT_WORDS: [&str; 10] = [
    "begin",
    "crash_now",
    "announce",
    "demand",
    "first_byte",
    "outcome",
    "dropped",
    "tick_due",
    "echo",
    "heard",
];

/// Bit in a `demand` line for a message that the client has submitted before.
const RESUBMITTED_BIT: u64 = 2;
/// Bit in a `demand` line for a message that was pending at a sender that died.
const ORPHAN_BIT: u64 = 16;

/// Parses the first line of a batch and returns its time.
pub(super) fn read_batch_head(line: &str) -> Result<Micros, Fault> {
    let mut fields = Fields::new(line);
    match fields.text("batch")? {
        "batch" => fields.time("a time"),
        other => fault("batch", other),
    }
}

/// Parses a `manifest` line after its first word. Returns the list's number and the number of rows that follow.
pub(super) fn read_list_head(rest: &str) -> Result<(u64, u64), Fault> {
    let mut fields = Fields::new(rest);
    let number = fields.whole("a list number")?;
    Ok((number, fields.whole("a count of rows")?))
}

/// Checks a row when the list is read, so that the error names the row's own line number.
pub(super) fn check_row(row: &str) -> Result<(), Fault> {
    read_row(row, &mut NameNumbers::default(), &Names::default()).map(drop)
}

/// Parses the event of a line for a running instance. `word` is the line's first word, and `fields` are the fields after
/// the instance's id.
pub(super) fn read_event(
    word: &str,
    fields: &mut Fields,
    instance: &mut Instance,
    lists: &BTreeMap<u64, Vec<String>>,
) -> Result<Event, Fault> {
    match word {
        "announce" => endpoint_list(fields, instance, lists),
        "demand" => new_message(fields, instance),
        "first_byte" => response_started(fields, instance),
        "outcome" => attempt_ended(fields, instance),
        "dropped" => Ok(Event::MessageAbandoned(message(fields, instance)?)),
        "echo" => health_check_ended(fields, instance),
        "heard" => {
            let from = fields.whole("a sender's number")? as u32;
            Ok(Event::PeerNote {
                from,
                bytes: decode(fields.text("bytes")?)?,
            })
        }
        _ => {
            fields.text("a token")?;
            Ok(Event::TimerExpired)
        }
    }
}

fn message(fields: &mut Fields, instance: &mut Instance) -> Result<MessageId, Fault> {
    Ok(MessageId(
        instance.messages.number(fields.text("a message id")?),
    ))
}

fn endpoint(fields: &mut Fields, instance: &mut Instance) -> Result<EndpointId, Fault> {
    Ok(EndpointId(
        instance.endpoints.number(fields.text("an endpoint")?) as u32,
    ))
}

fn response_started(fields: &mut Fields, instance: &mut Instance) -> Result<Event, Fault> {
    let message = message(fields, instance)?;
    fields.number("a latency")?;
    let attempt = fields.whole("an attempt")? as usize;
    fields.text("an endpoint")?;
    Ok(Event::ResponseStarted { message, attempt })
}

fn attempt_ended(fields: &mut Fields, instance: &mut Instance) -> Result<Event, Fault> {
    let message = message(fields, instance)?;
    let attempt = fields.whole("an attempt")? as usize;
    let endpoint = endpoint(fields, instance)?;
    let word = fields.outcome_word()?;
    let latency = fields.time("a latency")?;
    let complete = fields.flag("1 or 0")?;
    let remark = fields
        .optional("a remark")?
        .map_or(Ok(0.0), |text| parse_number(text, "a remark"))?;
    let report = fields.report()?;
    let outcome = outcome(word, remark);
    Ok(Event::AttemptEnded {
        message,
        attempt,
        endpoint,
        outcome,
        latency,
        complete,
        report,
    })
}

fn health_check_ended(fields: &mut Fields, instance: &mut Instance) -> Result<Event, Fault> {
    fields.number("a latency")?;
    let endpoint = endpoint(fields, instance)?;
    let outcome = outcome(fields.outcome_word()?, 0.0);
    Ok(Event::HealthCheckEnded {
        endpoint,
        outcome,
        report: fields.report()?,
    })
}

fn read_row(row: &str, endpoints: &mut NameNumbers, names: &Names) -> Result<EndpointEntry, Fault> {
    let mut fields = Fields::new(row);
    let endpoint = EndpointId(endpoints.number(fields.text("an endpoint")?) as u32);
    let zone = position(&names.zones, fields.text("a zone")?) as u16;
    let kind = position(&names.kinds, fields.text("a kind")?);
    let destination = fields.whole("a destination")?;
    let status = match fields.text("a status")? {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => EndpointStatus::Removed,
        other => return fault("SERVING, DRAINING or DELETED", other),
    };
    let weight = fields
        .optional("a weight")?
        .map_or(Ok(0.0), |text| parse_number(text, "a weight"))?;
    Ok(EndpointEntry {
        endpoint,
        destination,
        zone,
        kind,
        status,
        weight,
    })
}

fn endpoint_list(
    fields: &mut Fields,
    instance: &mut Instance,
    lists: &BTreeMap<u64, Vec<String>>,
) -> Result<Event, Fault> {
    let scope = match fields.text("a kind of announcement")? {
        "delta" => ListScope::Changes,
        "full" => ListScope::Full,
        "cached" => ListScope::Stale,
        "failed" => return Ok(Event::EndpointListFailed),
        other => return fault("delta, full, cached or failed", other),
    };
    let number = fields.whole("a list number")?;
    let Some(rows) = lists.get(&number) else {
        return fault("a list sent before", &number.to_string());
    };
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        entries.push(read_row(row, &mut instance.endpoints, &instance.names)?);
    }
    Ok(Event::EndpointList { scope, entries })
}

fn new_message(fields: &mut Fields, instance: &mut Instance) -> Result<Event, Fault> {
    let id = message(fields, instance)?;
    let time_left = fields.time("time left")?;
    let tenant = fields
        .optional("an owner")?
        .map(|name| position(&instance.names.tenants, name));
    let key = fields
        .optional("a key")?
        .map(|text| parse_whole(text, "a key"))
        .transpose()?;
    let bits = fields
        .optional("bits")?
        .map_or(Ok(0), |text| parse_whole(text, "bits"))?;
    let destination = fields.whole("a destination")?;
    fields
        .optional("a cost")?
        .map(|text| parse_number(text, "a cost"))
        .transpose()?;
    let class = position(&instance.names.classes, fields.text("a class")?);
    let new = NewMessage::new(id, class, destination, time_left);
    Ok(Event::Accepted(NewMessage {
        key,
        tenant,
        resubmitted: bits & RESUBMITTED_BIT != 0,
        accepted_by_failed_sender: bits & ORPHAN_BIT != 0,
        ..new
    }))
}

#[cfg(test)]
mod tests;
