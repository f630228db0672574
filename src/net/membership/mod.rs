//! Membership among the senders: the socket, the clock and the file round the protocol. Off unless the configuration has a
//! `membership` object.

mod change_log;
mod member;
mod remembered;
mod report;
pub mod settings;

use super::clock::Clock;
use super::events::{DriverInput, ReportRequest};
use super::log;
use fleet_membership::Node;
use member::{Member, Stop};
use settings::MembershipSettings;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The most bytes that remembered members take in the state folder: twice the file, while it is replaced.
pub const MAX_DISK_BYTES: u64 = 2 * 4096;
/// Between two tries to bind the socket: a predecessor may still have the address, and leaves it within 3.3 s.
const BIND_INTERVAL: Duration = Duration::from_millis(100);
/// After this time without the socket, that is logged.
const BIND_LOGGED_AFTER: Duration = Duration::from_secs(4);

/// What membership needs of the rest of the process.
pub struct Dependencies {
    /// Module time.
    pub clock: Clock,
    /// Seed of the protocol's random choices.
    pub seed: u64,
    /// The state folder.
    pub state_folder: PathBuf,
    /// The driver, which is told of the fleet's view.
    pub driver: mpsc::UnboundedSender<DriverInput>,
    /// The number of senders that the decisions scale by now.
    pub fleet_size: Rc<Cell<u32>>,
}

impl Dependencies {
    /// Module time, in microseconds.
    fn now(&self) -> u64 {
        u64::try_from(self.clock.at(Instant::now())).unwrap_or(0)
    }
}

/// What membership is told while it runs.
pub struct Channels {
    /// The settings that enable it; none: it is off.
    pub settings: watch::Receiver<Option<MembershipSettings>>,
    /// Operators' requests for its report; one that is dropped says that it is off.
    pub reports: mpsc::Receiver<ReportRequest>,
    /// True once the process shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// Takes part for as long as the settings enable it, until the process shuts down. Ends by being dropped at a handover:
/// the successor is the same member.
pub async fn run(dependencies: Dependencies, mut channels: Channels) {
    let instance = dependencies.now();
    loop {
        let settings = channels.settings.borrow_and_update().clone();
        let Some(settings) = settings else {
            tokio::select! {
                changed = channels.settings.changed() => if changed.is_err() { return },
                Some(request) = channels.reports.recv() => drop(request),
                _ = channels.shutdown.wait_for(|shutdown| *shutdown) => return,
            }
            continue;
        };
        let Some(socket) = bind(settings.listen, &mut channels).await else {
            continue;
        };
        let remembered = remembered::load(&dependencies.state_folder).await;
        let seed = dependencies.seed ^ instance;
        let now = dependencies.now();
        let node = match Node::new(settings.protocol.clone(), remembered, seed, instance, now) {
            Ok(node) => node,
            // the settings were checked when they were read
            Err(error) => return log(format_args!("members: off, {error}")),
        };
        let advertised = settings.protocol.advertise;
        log(format_args!("members: {} at {advertised}", node.name()));
        let member = Member::new(&dependencies, node, socket, settings.act);
        let stop = member.run(&mut channels).await;
        // what the others report binds no more
        let _ = dependencies.driver.send(DriverInput::FleetView(None));
        if stop == Stop::Shutdown {
            return;
        }
    }
}

/// The socket, once it can be bound; none if the settings change or the process shuts down before.
async fn bind(address: SocketAddr, channels: &mut Channels) -> Option<UdpSocket> {
    let began = Instant::now();
    let mut is_logged = false;
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return Some(socket),
            Err(error) if began.elapsed() > BIND_LOGGED_AFTER && !is_logged => {
                is_logged = true;
                log(format_args!(
                    "members: off until {address} can be bound: {error}"
                ));
            }
            Err(_) => {}
        }
        tokio::select! {
            () = tokio::time::sleep(BIND_INTERVAL) => {}
            _ = channels.settings.changed() => return None,
            _ = channels.shutdown.wait_for(|shutdown| *shutdown) => return None,
        }
    }
}

#[cfg(test)]
mod tests;
