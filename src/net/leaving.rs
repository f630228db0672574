//! What is left to a process that has handed over: it reports how its calls end and passes on what clients and
//! operators still bring. It decides nothing, writes nothing down and starts no call.

use super::calls::CallOut;
use super::clock::Clock;
use super::events::{
    AdminCommand, AdminResult, DriverInput, ForwardedSubmission, HandoverMessage, Submission,
    SubmissionResult,
};
use super::upgrade::{LinkError, Writer, text};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};

/// How often it is looked at whether all is done.
const LOOK: Duration = Duration::from_millis(100);

/// The old process after the hand-over.
pub struct Leaving {
    pub writer: Writer,
    pub clock: Clock,
    pub out: BTreeMap<u64, CallOut>,
    /// The clients' places, and how many there are when none is taken.
    pub places: Arc<Semaphore>,
    pub most: usize,
    pub answers: HashMap<u64, oneshot::Sender<SubmissionResult>>,
    pub verdicts: HashMap<u64, oneshot::Sender<AdminResult>>,
    pub next: u64,
}

impl Leaving {
    /// Until no call is out and no client is connected, or the new process is gone.
    pub async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<DriverInput>,
        mut orders: mpsc::Receiver<AdminCommand>,
    ) {
        let mut look = tokio::time::interval(LOOK);
        loop {
            let done = tokio::select! {
                biased;
                Some(order) = orders.recv() => self.pass_on(order).await,
                _ = look.tick() => {
                    let left = self.most.saturating_sub(self.places.available_permits());
                    if self.out.is_empty() && self.answers.is_empty() && self.verdicts.is_empty() && left == 0 {
                        super::log(format_args!("upgrade: all is done here, the old process ends"));
                        return;
                    }
                    Ok(())
                }
                Some(input) = inputs.recv() => self.learn(input).await,
            };
            if let Err(error) = done {
                // whoever takes the journal next must not meet calls that still run
                return super::log(format_args!(
                    "upgrade: the new process is lost, the old one ends: {error}"
                ));
            }
        }
    }

    async fn pass_on(&mut self, order: AdminCommand) -> Result<(), LinkError> {
        let AdminCommand::SetDisabled {
            uid,
            disabled: out,
            reply,
        } = order
        else {
            return Ok(());
        };
        self.next += 1;
        self.verdicts.insert(self.next, reply);
        self.writer
            .say(HandoverMessage::AdminCommand {
                number: self.next,
                uid,
                disabled: out,
            })
            .await
    }

    async fn learn(&mut self, input: DriverInput) -> Result<(), LinkError> {
        match input {
            DriverInput::Submitted(arrival) => {
                self.next += 1;
                let (arrival, reply) = self.passed(arrival);
                self.answers.insert(self.next, reply);
                self.writer
                    .say(HandoverMessage::Submitted {
                        number: self.next,
                        submission: Box::new(arrival),
                    })
                    .await
            }
            DriverInput::ClientDisconnected(id) => {
                self.writer
                    .say(HandoverMessage::ClientDisconnected(text(&id)))
                    .await
            }
            DriverInput::AttemptEnded(ended) => {
                if let Some(call) = self.out.get_mut(&ended.call) {
                    call.left -= 1;
                    if call.left == 0 {
                        self.out.remove(&ended.call);
                    }
                }
                self.writer.say(HandoverMessage::AttemptEnded(ended)).await
            }
            DriverInput::Handover(HandoverMessage::CancelAttempt { call, item }) => {
                if let Some(cancels) = self.out.get(&call).and_then(|call| call.cancels.as_ref()) {
                    // a call that has just ended has told how
                    let _ = cancels.send(item);
                }
                Ok(())
            }
            DriverInput::Handover(HandoverMessage::Answered {
                number,
                result: answer,
            }) => {
                if let Some(reply) = self.answers.remove(&number) {
                    let _ = reply.send(answer); // a client that is gone has said so by its guard
                }
                Ok(())
            }
            DriverInput::Handover(HandoverMessage::AdminResult {
                number,
                result: verdict,
            }) => {
                if let Some(reply) = self.verdicts.remove(&number) {
                    let _ = reply.send(verdict); // an operator that has gone sees the log
                }
                Ok(())
            }
            DriverInput::HandoverLinkLost => Err(LinkError::Unexpected),
            // no word of the link carries a wait without its call's end (docs/ROADMAP.md)
            DriverInput::RetryAfter { .. } => Ok(()),
            // the new one reads lists and settings itself, and posts notices
            DriverInput::SettingsChanged(_)
            | DriverInput::AgreedRules { .. }
            | DriverInput::Quotas { .. }
            | DriverInput::Freeze(_)
            | DriverInput::FleetHealth { .. }
            | DriverInput::Demand { .. }
            | DriverInput::FleetView(_)
            | DriverInput::Handover(_)
            | DriverInput::EndpointList(_)
            | DriverInput::ListStale(_)
            | DriverInput::NotificationsDelivered(_)
            | DriverInput::ShuttingDown(_) => Ok(()),
        }
    }

    fn passed(
        &self,
        arrival: Submission,
    ) -> (ForwardedSubmission, oneshot::Sender<SubmissionResult>) {
        let passed = ForwardedSubmission {
            id: text(&arrival.id),
            key: arrival.key.as_ref().map(text),
            subject: arrival.subject,
            tenant: arrival.tenant,
            class: arrival.class,
            destination: arrival.destination,
            time_limit: arrival.time_limit,
            received_at: self.clock.at(arrival.received_at),
            again: arrival.again,
            orphan: arrival.orphan,
            body: arrival.body.to_vec(),
        };
        (passed, arrival.reply)
    }
}
