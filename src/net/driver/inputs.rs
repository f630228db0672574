//! Inputs of the other tasks: which function of the driver handles each.

use super::Driver;
use crate::net::events::{DemandReport, DriverInput};
use message_sender::Event;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of queued inputs that are handled in one turn, in addition to the input that
/// started the turn. The limit keeps a turn short. 1024 covers the end of one call to each of 1024
/// endpoints.
const MAX_INPUTS_PER_TURN: usize = 1024;

impl Driver {
    /// Receives input that is already queued, up to [`MAX_INPUTS_PER_TURN`].
    pub(super) fn receive_waiting(&mut self, inputs: &mut mpsc::UnboundedReceiver<DriverInput>) {
        for _ in 0..MAX_INPUTS_PER_TURN {
            let Ok(input) = inputs.try_recv() else { break };
            self.receive(input);
        }
    }

    /// Applies one input and queues its events for the next turn.
    pub(super) fn receive(&mut self, input: DriverInput) {
        match input {
            DriverInput::Submitted(submission) => self.receive_submission(submission),
            DriverInput::ClientDisconnected(client) => self.client_disconnected(&client),
            DriverInput::ShuttingDown(at) => {
                self.end_counts.log(Instant::now());
                self.events.push(Event::ShuttingDown {
                    at: self.clock.at(at),
                });
            }
            DriverInput::AttemptEnded(end) => self.attempt_ended(end),
            DriverInput::RetryAfter { endpoint, delay } => self.retry_after(endpoint, delay),
            DriverInput::EndpointList(update) => self.receive_list(update),
            DriverInput::ListStale(stale) => {
                self.calls.connections().set_suspended(stale);
                self.events.push(Event::EndpointListStale(stale));
            }
            DriverInput::NotificationsAccepted(accepted) => self.notifications_accepted(accepted),
            DriverInput::AgreedRules { rules, applied } => {
                self.list.is_agreement_on = rules.is_some();
                self.events.push(Event::AgreedRules(rules));
                self.waiting_for_turn.push(applied);
            }
            DriverInput::Quotas { quotas, applied } => {
                self.events.push(Event::Quotas(quotas));
                self.waiting_for_turn.push(applied);
            }
            DriverInput::Freeze(change) => self.change_freeze(change),
            DriverInput::FleetHealth {
                destination,
                unavailable,
            } => self.events.push(Event::FleetHealth {
                destination,
                unavailable,
            }),
            DriverInput::Demand {
                max_fully_reported,
                reply,
            } => {
                let (listed, by_destination) = self.sender.demand_in_use(max_fully_reported);
                // the send fails only if the ledger client was switched off meanwhile
                let _ = reply.send(DemandReport {
                    listed,
                    by_destination,
                });
            }
            DriverInput::FleetView(view) => self.events.push(Event::FleetView(view)),
            DriverInput::SettingsChanged(update) => self.apply_settings(*update),
            DriverInput::Handover(message) => self.receive_from_predecessor(message),
            DriverInput::HandoverLinkLost => self.predecessor_lost(),
        }
    }
}
