//! Runs the simulated senders of one adapter process.

use super::fields::{Fault, Fields, fault};
use super::instance::Instance;
use super::lines::{Lines, WireError};
use super::printing::print;
use super::reading::{EVENT_WORDS, check_row, read_batch_head, read_event, read_list_head};
use super::settings::{Pairs, read_settings};
use crate::decisions::Sender;
use crate::interface::{Action, Micros};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Runs all simulated senders ("instances") of one process: reads batches of events and writes the senders' actions.
#[derive(Default)]
pub struct Host {
    /// Running instances by id.
    instances: BTreeMap<String, Instance>,
    /// Rows of each endpoint list, by the number under which `announce` lines refer to the list.
    endpoint_lists: BTreeMap<u64, Vec<String>>,
    /// Ids of the instances with events in the current batch, in the order of their first event.
    batch_order: Vec<String>,
    /// Actions of one instance, kept here to reuse the allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Creates a host without instances.
    pub fn new() -> Self {
        Host::default()
    }

    /// Reads batches until the input ends, and writes one reply to each batch.
    ///
    /// # Errors
    /// A malformed line, input that ends inside a batch, or a failed read or write.
    pub fn run(
        &mut self,
        mut input: impl BufRead,
        mut output: impl Write,
    ) -> Result<(), WireError> {
        let mut lines = Lines {
            number: 0,
            text: String::new(),
        };
        let mut reply = String::new();
        while lines.next(&mut input)? {
            if lines.text.is_empty() {
                continue;
            }
            let now = lines.check(read_batch_head)?;
            self.batch_order.clear();
            loop {
                if !lines.next(&mut input)? {
                    lines.number += 1;
                    return Err(lines.error("eof_batch", "end of input"));
                }
                if lines.text == "eof_batch" {
                    break;
                }
                self.read_event(&mut lines, &mut input)?;
            }
            reply.clear();
            self.reply(now, &mut reply);
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
        Ok(())
    }

    fn read_event(&mut self, lines: &mut Lines, input: &mut impl BufRead) -> Result<(), WireError> {
        if let Some(rest) = lines.text.strip_prefix("manifest ") {
            let head =
                read_list_head(rest).map_err(|(expected, found)| lines.error(&expected, &found))?;
            return self.read_list(head, lines, input);
        }
        let outcome = self.event(&lines.text);
        outcome.map_err(|(expected, found)| lines.error(&expected, &found))
    }

    /// Reads the rows of an endpoint list and stores them under the number that later `announce` lines use.
    fn read_list(
        &mut self,
        (number, rows): (u64, u64),
        lines: &mut Lines,
        input: &mut impl BufRead,
    ) -> Result<(), WireError> {
        let mut list = Vec::new();
        for _ in 0..rows {
            if !lines.next(input)? {
                return Err(lines.error("a row", "end of input"));
            }
            let Some(row) = lines.text.strip_prefix("row ") else {
                return Err(lines.error("a row", &lines.text));
            };
            check_row(row).map_err(|(expected, found)| lines.error(&expected, &found))?;
            list.push(row.to_string());
        }
        self.endpoint_lists.insert(number, list);
        Ok(())
    }

    /// Adds the event of a line to its instance; starts or stops the instance on `begin` and `crash_now`.
    fn event(&mut self, line: &str) -> Result<(), Fault> {
        let mut fields = Fields::new(line);
        let word = fields.text("a message")?;
        if !EVENT_WORDS.contains(&word) {
            return fault("a known message", word);
        }
        let id = fields.text("an instance")?;
        if word == "begin" {
            return self.begin(id, &mut fields, line);
        }
        let Some(instance) = self.instances.get_mut(id) else {
            return fault("a running instance", id);
        };
        if word == "crash_now" {
            self.instances.remove(id);
            self.batch_order.retain(|name| name != id);
            return Ok(());
        }
        let event = read_event(word, &mut fields, instance, &self.endpoint_lists)?;
        instance.events.push(event);
        if !self.batch_order.iter().any(|name| name == id) {
            self.batch_order.push(id.to_string());
        }
        Ok(())
    }

    /// Starts an instance with the seed and settings of a `begin` line, replacing a running one of the same id.
    fn begin(&mut self, id: &str, fields: &mut Fields, line: &str) -> Result<(), Fault> {
        let seed = fields.whole("a seed")?;
        let setup = line.splitn(4, ' ').nth(3).unwrap_or("");
        let pairs = Pairs(
            setup
                .split(' ')
                .filter_map(|pair| pair.split_once('='))
                .collect(),
        );
        let (settings, names) =
            read_settings(&pairs).map_err(|e| (e.to_string(), "begin".to_string()))?;
        let sender =
            Sender::new(settings, seed).map_err(|e| (e.to_string(), "begin".to_string()))?;
        self.instances
            .insert(id.to_string(), Instance::new(sender, names));
        self.batch_order.retain(|name| name != id);
        self.batch_order.push(id.to_string());
        Ok(())
    }

    /// Passes each instance its events of the batch and appends the resulting action lines to `reply`.
    fn reply(&mut self, now: Micros, reply: &mut String) {
        for id in &self.batch_order {
            let Some(instance) = self.instances.get_mut(id) else {
                continue;
            };
            let events = std::mem::take(&mut instance.events);
            self.actions.clear();
            instance.sender.handle(now, &events, &mut self.actions);
            for action in &self.actions {
                print(reply, id, action, instance);
            }
        }
        reply.push_str("ready\n");
    }
}
