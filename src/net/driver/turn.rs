//! Turns: the decision module handles all queued events in one call, and the driver carries out its
//! actions.

use super::Driver;
use super::attempts::SendRequest;
use super::calls_in_flight::Bundle;
use crate::net;
use crate::net::journal::UndeliveredOutcome;
use message_sender::decisions::InFlightAttempt;
use message_sender::{Action, Event, MILLISECOND, Micros};
use tokio::time::Instant;

impl Driver {
    /// Runs turns until no event is queued and no attempt is lost; the actions of a turn can queue
    /// events for another turn. Then sends the outcome notifications that no longer need to wait.
    pub(super) fn take_turns(&mut self) {
        self.take_turn();
        while !self.events.is_empty() || self.end_lost_attempts() {
            self.take_turn();
        }
        self.send_ready_notifications();
    }

    fn take_turn(&mut self) {
        let now = self.clock.at(Instant::now());
        if self.timer.take_if(|at| *at <= now).is_some() {
            self.events.push(Event::TimerExpired);
        }
        self.report_journal_change();
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.sender.handle(now, &events, &mut actions);
        for applied in self.waiting_for_turn.drain(..) {
            // the send fails only at the end of the process, when the receiving task is dropped
            let _ = applied.send(());
        }
        self.publish_fleet_size(&events);
        self.answer_clients(&actions);
        let mut bundles = Vec::new();
        for action in actions {
            self.carry_out(now, action, &mut bundles);
        }
        for bundle in bundles {
            self.start_call(bundle);
        }
    }

    /// Notifies the decision module when journal writes begin to fail, and when they succeed again.
    fn report_journal_change(&mut self) {
        let Some(failing) = self.journal.take_failing_change() else {
            return;
        };
        let state = if failing {
            "records can't be written; no call begins"
        } else {
            "records can be written again"
        };
        net::log(format_args!("journal: {state}"));
        self.events.push(Event::HostFailing(failing));
    }

    /// Publishes to the other tasks the number of senders among which the decision module divides
    /// limits.
    fn publish_fleet_size(&self, events: &[Event]) {
        let size = self.sender.fleet_size();
        let previous_size = self.process.fleet_size.replace(size);
        let may_change_size =
            |event: &Event| matches!(event, Event::FleetView(_) | Event::TimerExpired);
        if size != previous_size && events.iter().any(may_change_size) {
            net::log(format_args!(
                "members: limits are divided among {size} senders, previously {previous_size}"
            ));
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, bundles: &mut Vec<Bundle>) {
        match action {
            Action::Send {
                message,
                attempt,
                endpoint,
                expires,
                start_by,
            } => {
                let attempt = InFlightAttempt {
                    message,
                    number: attempt,
                    endpoint,
                };
                let request = SendRequest {
                    attempt,
                    expires,
                    start_by,
                };
                self.send(now, request, bundles);
            }
            Action::Cancel { message, attempt } => self.cancel(message, attempt),
            Action::Reject {
                message,
                retry_after,
            } => {
                let after_ms = retry_after.and_then(|wait| u64::try_from(wait / MILLISECOND).ok());
                self.end_undelivered(message, UndeliveredOutcome::Returned { after_ms });
            }
            Action::Fail(message) => self.end_undelivered(message, UndeliveredOutcome::Failed),
            Action::SetTimer(at) => self.timer = Some(at),
            Action::Disconnect(endpoint) => {
                if let Some(address) = self.endpoints.address_of(endpoint) {
                    self.calls.connections().close_idle(address);
                }
            }
            Action::Log(event) => net::log(format_args!("{event}")),
            // the driver always watches the endpoint list, and it supports neither health checks
            // nor peer notes
            Action::Subscribe | Action::HealthCheck(_) | Action::SendNote(_) => {}
        }
    }
}
