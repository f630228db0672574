//! Channels and flags by which the tasks of the process communicate.

use crate::net::discovery::OutcomeNotification;
use crate::net::driver::DriverChannels;
use crate::net::events::{AdminCommand, DriverInput, ReportRequest};
use crate::net::handover::SuccessorRequest;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Maximum number of operators' commands or report requests that wait in one channel.
const MAX_WAITING_COMMANDS: usize = 64;

/// Sending and receiving ends of all channels.
pub(super) struct Channels {
    pub senders: Senders,
    pub receivers: Receivers,
}

/// Sending ends of the channels.
pub(super) struct Senders {
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    pub notifications: mpsc::UnboundedSender<OutcomeNotification>,
    pub commands: mpsc::Sender<AdminCommand>,
    pub successors: mpsc::Sender<SuccessorRequest>,
    pub membership_reports: mpsc::Sender<ReportRequest>,
    pub agreement_reports: mpsc::Sender<ReportRequest>,
    pub ledger_reports: mpsc::Sender<ReportRequest>,
}

/// Receiving ends of the channels, grouped by the task that reads them.
pub(super) struct Receivers {
    pub driver: DriverChannels,
    pub tasks: TaskReceivers,
}

/// Receiving ends for the tasks other than the driver.
pub(super) struct TaskReceivers {
    pub notifications: mpsc::UnboundedReceiver<OutcomeNotification>,
    pub membership_reports: mpsc::Receiver<ReportRequest>,
    pub agreement_reports: mpsc::Receiver<ReportRequest>,
    pub ledger_reports: mpsc::Receiver<ReportRequest>,
}

impl Channels {
    pub fn new() -> Self {
        let (inputs, received_inputs) = mpsc::unbounded_channel();
        let (notifications, received_notifications) = mpsc::unbounded_channel();
        let (commands, received_commands) = mpsc::channel(MAX_WAITING_COMMANDS);
        let (successors, received_successors) = mpsc::channel(1);
        let (membership_reports, membership_requests) = mpsc::channel(MAX_WAITING_COMMANDS);
        let (agreement_reports, agreement_requests) = mpsc::channel(MAX_WAITING_COMMANDS);
        let (ledger_reports, ledger_requests) = mpsc::channel(MAX_WAITING_COMMANDS);
        Channels {
            senders: Senders {
                inputs,
                notifications,
                commands,
                successors,
                membership_reports,
                agreement_reports,
                ledger_reports,
            },
            receivers: Receivers {
                driver: DriverChannels {
                    inputs: received_inputs,
                    commands: received_commands,
                    successors: received_successors,
                },
                tasks: TaskReceivers {
                    notifications: received_notifications,
                    membership_reports: membership_requests,
                    agreement_reports: agreement_requests,
                    ledger_reports: ledger_requests,
                },
            },
        }
    }
}

/// Flags with the state of the process, which all tasks can read.
pub(super) struct Flags {
    /// True once the driver has an endpoint list, so that the process can accept messages.
    pub ready: watch::Sender<bool>,
    /// True while the process accepts no new messages of its own: until it serves clients, after SIGTERM, and after a
    /// successor has taken over.
    pub draining: Rc<Cell<bool>>,
    /// True after SIGTERM, so that tasks can release their leases.
    pub stopping: watch::Sender<bool>,
    /// True once the server must close idle client connections.
    pub close_clients: watch::Sender<bool>,
    /// True once a successor has taken over from this process.
    pub handed_over: watch::Sender<bool>,
}

impl Flags {
    /// Returns the flags of a process that is starting. It counts as draining until it serves clients.
    pub fn new() -> Self {
        Flags {
            ready: watch::Sender::new(false),
            draining: Rc::new(Cell::new(true)),
            stopping: watch::Sender::new(false),
            close_clients: watch::Sender::new(false),
            handed_over: watch::Sender::new(false),
        }
    }
}
