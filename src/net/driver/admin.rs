//! Commands of operators: disabling and enabling of endpoints, and reports.

use super::Driver;
use crate::net;
use crate::net::events::{AdminCommand, AdminResult};
use message_sender::{EndpointId, Event};
use tokio::sync::oneshot;

impl Driver {
    /// Executes a command; returns true if a turn is due afterwards.
    pub(super) fn execute(&mut self, command: AdminCommand) -> bool {
        match command {
            AdminCommand::SetDisabled {
                uid,
                disabled,
                reply,
            } => {
                self.set_disabled(uid, disabled, reply);
                true
            }
            AdminCommand::PoolReport { reply } => {
                let uid_of = |id: EndpointId| Some(self.endpoints.get(id)?.uid.clone());
                // the send fails only if the operator has disconnected
                let _ = reply.send(self.calls.connections().report(uid_of));
                false
            }
            AdminCommand::FreezeReport { reply } => {
                // dropping `reply` without a report means that the freeze is off
                if let Some(report) = self.freeze_report() {
                    let _ = reply.send(report);
                }
                false
            }
        }
    }

    /// Disables or enables an endpoint, after the journal has recorded the change.
    pub(super) fn set_disabled(
        &mut self,
        uid: String,
        disabled: bool,
        reply: oneshot::Sender<AdminResult>,
    ) {
        let result = self.try_set_disabled(&uid, disabled);
        let change = if disabled { "disabled" } else { "enabled" };
        net::log(format_args!("control: endpoint {uid} {change}: {result:?}"));
        // a disconnected operator finds the result in the log
        let _ = reply.send(result);
    }

    fn try_set_disabled(&mut self, uid: &str, disabled: bool) -> AdminResult {
        let was_disabled = self.journal.is_disabled(uid);
        let is_listed = self
            .endpoints
            .by_uid(uid)
            .is_some_and(|endpoint| endpoint.listed);
        if !was_disabled && !is_listed {
            return AdminResult::UnknownEndpoint;
        }
        if was_disabled == disabled {
            return AdminResult::Done;
        }
        if !self.journal.set_disabled(uid, disabled) {
            return AdminResult::NotWritten;
        }
        let endpoint = self.endpoints.id_or_new(uid);
        self.update_pool(endpoint);
        self.events.push(if disabled {
            Event::Disabled(endpoint)
        } else {
            Event::Enabled(endpoint)
        });
        AdminResult::Done
    }
}
