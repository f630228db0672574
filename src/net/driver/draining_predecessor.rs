//! Predecessor after a handover: it reports the ends of its calls to the successor, and forwards
//! clients' submissions and disconnects, and operators' commands that disable or enable an
//! endpoint. Operators' requests for reports get none. The predecessor makes no decisions, writes
//! no journal records and starts no calls.

use super::ClientSlots;
use super::calls_in_flight::CallsInFlight;
use crate::net;
use crate::net::clock::Clock;
use crate::net::events::{
    AdminCommand, AdminResult, AttemptEnd, DriverInput, ForwardedSubmission, HandoverMessage,
    Submission, SubmissionResult,
};
use crate::net::handover::{LinkError, LinkWriter, header_text};
use crate::net::message_log::{self, MessageEvent};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::interval;

/// Interval at which the predecessor checks whether all its calls and clients have ended.
const DONE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Process that has handed its state over and drains its calls and clients.
pub(super) struct DrainingPredecessor {
    writer: LinkWriter,
    clock: Clock,
    calls_in_flight: CallsInFlight,
    client_slots: ClientSlots,
    /// Clients that wait for the successor's response, by the number of their forwarded submission.
    clients: HashMap<u64, oneshot::Sender<SubmissionResult>>,
    /// Operators that wait for the successor's result, by the number of their forwarded command.
    operators: HashMap<u64, oneshot::Sender<AdminResult>>,
    last_number: u64,
}

impl DrainingPredecessor {
    pub fn new(
        writer: LinkWriter,
        clock: Clock,
        calls_in_flight: CallsInFlight,
        client_slots: ClientSlots,
    ) -> Self {
        DrainingPredecessor {
            writer,
            clock,
            calls_in_flight,
            client_slots,
            clients: HashMap::new(),
            operators: HashMap::new(),
            last_number: 0,
        }
    }

    /// Runs until no call is in flight and no client is connected, or until the link to the
    /// successor is lost.
    pub async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<DriverInput>,
        mut commands: mpsc::Receiver<AdminCommand>,
    ) {
        let mut done_check = interval(DONE_CHECK_INTERVAL);
        loop {
            let sent = tokio::select! {
                biased;
                Some(command) = commands.recv() => self.forward_command(command).await,
                _ = done_check.tick() => {
                    if self.is_done() {
                        net::log(format_args!(
                            "handover: all calls and client connections have ended; the predecessor exits"
                        ));
                        return;
                    }
                    Ok(())
                }
                Some(input) = inputs.recv() => self.receive(input).await,
            };
            if let Err(error) = sent {
                // exit at once: calls of this process must not still run when another process opens
                // the journal
                return net::log(format_args!(
                    "handover: lost the successor; the predecessor exits: {error}"
                ));
            }
        }
    }

    fn is_done(&self) -> bool {
        let nobody_waits = self.clients.is_empty() && self.operators.is_empty();
        self.calls_in_flight.is_empty() && nobody_waits && self.client_slots.in_use() == 0
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    async fn forward_command(&mut self, command: AdminCommand) -> Result<(), LinkError> {
        let AdminCommand::SetDisabled {
            uid,
            disabled,
            reply,
        } = command
        else {
            // requests for reports are not forwarded; dropping the reply channel ends them
            return Ok(());
        };
        let number = self.next_number();
        self.operators.insert(number, reply);
        let forwarded = HandoverMessage::AdminCommand {
            number,
            uid,
            disabled,
        };
        self.writer.send_message(forwarded).await
    }

    async fn receive(&mut self, input: DriverInput) -> Result<(), LinkError> {
        match input {
            DriverInput::Submitted(submission) => self.forward_submission(submission).await,
            DriverInput::ClientDisconnected(client) => {
                let message = HandoverMessage::ClientDisconnected(header_text(&client.id));
                self.writer.send_message(message).await
            }
            DriverInput::AttemptEnded(end) => self.report_attempt(end).await,
            DriverInput::Handover(message) => {
                self.receive_from_successor(message);
                Ok(())
            }
            DriverInput::HandoverLinkLost => Err(LinkError::Unexpected),
            // dropped: the handover protocol has no message for a Retry-After that arrives after
            // the end of its attempt (docs/ROADMAP.md)
            DriverInput::RetryAfter { .. } => Ok(()),
            // the successor receives lists and settings itself, and posts the notifications
            DriverInput::SettingsChanged(_)
            | DriverInput::AgreedRules { .. }
            | DriverInput::Quotas { .. }
            | DriverInput::Freeze(_)
            | DriverInput::FleetHealth { .. }
            | DriverInput::Demand { .. }
            | DriverInput::FleetView(_)
            | DriverInput::EndpointList(_)
            | DriverInput::ListStale(_)
            | DriverInput::NotificationsAccepted(_)
            | DriverInput::ShuttingDown(_) => Ok(()),
        }
    }

    async fn forward_submission(&mut self, submission: Submission) -> Result<(), LinkError> {
        if submission.has_client_left() {
            message_log::log_event(&submission.id, &MessageEvent::ClientLeftEarly);
            return Ok(());
        }
        let number = self.next_number();
        let forwarded = ForwardedSubmission {
            id: header_text(&submission.id),
            key: submission.key.as_ref().map(header_text),
            subject: submission.subject,
            tenant: submission.tenant,
            class: submission.class,
            destination: submission.destination,
            time_limit: submission.time_limit,
            received_at: self.clock.at(submission.received_at),
            resubmitted: submission.resubmitted,
            previous_sender_failed: submission.previous_sender_failed,
            body: submission.body.to_vec(),
        };
        self.clients.insert(number, submission.reply);
        let message = HandoverMessage::Submitted {
            number,
            submission: Box::new(forwarded),
        };
        self.writer.send_message(message).await
    }

    async fn report_attempt(&mut self, end: AttemptEnd) -> Result<(), LinkError> {
        self.calls_in_flight.end_message(end.call);
        let message = HandoverMessage::AttemptEnded(end);
        self.writer.send_message(message).await
    }

    fn receive_from_successor(&mut self, message: HandoverMessage) {
        match message {
            HandoverMessage::CancelAttempt { call, position } => {
                let call = self.calls_in_flight.get(call);
                if let Some(cancellations) = call.and_then(|call| call.cancellations.as_ref()) {
                    // the send fails only if the call has just ended, and then its outcome is
                    // already queued
                    let _ = cancellations.send(position);
                }
            }
            HandoverMessage::Answered { number, result } => {
                if let Some(client) = self.clients.remove(&number) {
                    // the send fails only if the client has disconnected, which its guard reports
                    let _ = client.send(result);
                }
            }
            HandoverMessage::AdminResult { number, result } => {
                if let Some(operator) = self.operators.remove(&number) {
                    // a disconnected operator finds the result in the successor's log
                    let _ = operator.send(result);
                }
            }
            // only a predecessor sends these
            HandoverMessage::AttemptEnded(_)
            | HandoverMessage::Submitted { .. }
            | HandoverMessage::ClientDisconnected(_)
            | HandoverMessage::AdminCommand { .. } => {}
        }
    }
}
