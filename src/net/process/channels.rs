//! The channels and flags between the tasks of the process.

use crate::net::discovery::OutcomeNotification;
use crate::net::driver::DriverChannels;
use crate::net::events::{AdminCommand, DriverInput, ReportRequest};
use crate::net::handover::SuccessorRequest;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Commands and report requests of operators that may wait in one channel.
const MAX_WAITING_COMMANDS: usize = 64;

/// Both ends of all channels.
pub(super) struct Channels {
    pub senders: Senders,
    pub receivers: Receivers,
}

/// The ends that are written to.
pub(super) struct Senders {
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    pub notifications: mpsc::UnboundedSender<OutcomeNotification>,
    pub commands: mpsc::Sender<AdminCommand>,
    pub successors: mpsc::Sender<SuccessorRequest>,
    pub membership_reports: mpsc::Sender<ReportRequest>,
    pub agreement_reports: mpsc::Sender<ReportRequest>,
    pub ledger_reports: mpsc::Sender<ReportRequest>,
}

/// The ends that are read, by owner.
pub(super) struct Receivers {
    pub driver: DriverChannels,
    pub tasks: TaskReceivers,
}

/// What the tasks beside the driver read.
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

/// What the tasks know of the state of the process.
pub(super) struct Flags {
    /// Endpoints are known.
    pub ready: watch::Sender<bool>,
    /// The process takes nothing new.
    pub draining: Rc<Cell<bool>>,
    /// The process shuts down.
    pub stopping: watch::Sender<bool>,
    /// Idle client connections are to close.
    pub close_clients: watch::Sender<bool>,
    /// A successor has taken over.
    pub handed_over: watch::Sender<bool>,
}

impl Flags {
    /// Those of a process that takes nothing before the messages are its own.
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
