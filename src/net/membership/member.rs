//! One member: the protocol with its socket, by one version of the settings.

use super::change_log::ChangeLog;
use super::report::MembersReport;
use super::settings::MembershipSettings;
use super::{Channels, Dependencies, remembered};
use crate::net::events::DriverInput;
use crate::net::sorted_json::to_sorted_json;
use crate::net::{RateLimitedLog, log};
use fleet_membership::{MAX_DATAGRAM_BYTES, Node, Output, View};
use message_sender::FleetView;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How often the remembered members are written, at most.
const STORE_INTERVAL: Duration = Duration::from_secs(5);
/// A folder that hangs must not stop the protocol: writing is waited for no longer.
const STORE_TIMEOUT: Duration = Duration::from_millis(100);
/// Datagrams received after a first one before something else has its turn.
const MAX_FURTHER_DATAGRAMS: usize = 64;

/// Why a member stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stop {
    /// Other settings are in force.
    SettingsChanged,
    /// The process shuts down.
    Shutdown,
}

/// The protocol with its socket.
pub(super) struct Member<'a> {
    dependencies: &'a Dependencies,
    node: Node,
    socket: UdpSocket,
    /// Whether the decisions are told of the view.
    act: bool,
    /// The view that the decisions were told last.
    reported_view: View,
    change_log: ChangeLog,
    receive_errors: RateLimitedLog,
    /// When the remembered members were last written.
    stored_at: Instant,
    buffer: Vec<u8>,
}

impl<'a> Member<'a> {
    /// A member that has not sent anything yet.
    pub(super) fn new(
        dependencies: &'a Dependencies,
        node: Node,
        socket: UdpSocket,
        act: bool,
    ) -> Self {
        Member {
            dependencies,
            node,
            socket,
            act,
            reported_view: View::default(),
            change_log: ChangeLog::new(),
            receive_errors: RateLimitedLog::default(),
            stored_at: Instant::now(),
            buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
        }
    }

    /// Takes part until other settings come or the process shuts down.
    pub(super) async fn run(mut self, channels: &mut Channels) -> Stop {
        loop {
            let wake_at = i64::try_from(self.node.next_deadline()).unwrap_or(i64::MAX);
            let wake_at = self.dependencies.clock.instant(wake_at);
            let mut output = Output::default();
            tokio::select! {
                received = self.socket.recv_from(&mut self.buffer) => match received {
                    Ok((length, from)) => self.receive(length, from, &mut output),
                    // an earlier datagram found nobody, which the protocol sees by itself
                    Err(error) => self.receive_errors.log(format_args!("members: {error}")),
                },
                () = sleep_until(wake_at) => {}
                Some(request) = channels.reports.recv() => {
                    // an operator that has gone asks again
                    let _ = request.send(self.report());
                    continue;
                }
                changed = channels.settings.changed() => {
                    if changed.is_err() {
                        return Stop::Shutdown;
                    }
                    if self.adopt(&mut channels.settings) {
                        continue;
                    }
                    self.leave();
                    return Stop::SettingsChanged;
                }
                _ = channels.shutdown.wait_for(|shutdown| *shutdown) => {
                    self.leave();
                    self.store().await;
                    return Stop::Shutdown;
                }
            }
            self.node.tick(self.dependencies.now(), &mut output);
            self.apply_output(output);
            self.report_view();
            if self.stored_at.elapsed() >= STORE_INTERVAL {
                self.store().await;
            }
        }
    }

    /// Adopts new settings that differ in the number of senders alone; false if they need a new member.
    fn adopt(&mut self, settings: &mut watch::Receiver<Option<MembershipSettings>>) -> bool {
        let settings = settings.borrow_and_update();
        let Some(new) = settings.as_ref() else {
            return false;
        };
        let mut adopted = self.node.settings().clone();
        adopted.expected_members = new.protocol.expected_members;
        adopted.max_members = new.protocol.max_members;
        let is_bound_there = self
            .socket
            .local_addr()
            .is_ok_and(|address| new.listen == address);
        if adopted != new.protocol || self.act != new.act || !is_bound_there {
            return false;
        }
        self.node
            .set_expected_members(new.protocol.expected_members);
        true
    }

    /// Tells the others that this member leaves.
    fn leave(&mut self) {
        let mut output = Output::default();
        self.node.leave(&mut output);
        self.apply_output(output);
    }

    /// Handles a datagram, and those that wait behind it.
    fn receive(&mut self, length: usize, from: SocketAddr, output: &mut Output) {
        self.handle(length, from, output);
        for _ in 0..MAX_FURTHER_DATAGRAMS {
            let Ok((length, from)) = self.socket.try_recv_from(&mut self.buffer) else {
                return;
            };
            self.handle(length, from, output);
        }
    }

    fn handle(&mut self, length: usize, from: SocketAddr, output: &mut Output) {
        let now = self.dependencies.now();
        let datagram = &self.buffer[..length];
        self.node.handle_datagram(now, from, datagram, output);
    }

    fn apply_output(&mut self, output: Output) {
        for datagram in output.datagrams {
            // one that can't be sent is one that was lost
            let _ = self
                .socket
                .try_send_to(&datagram.payload, datagram.destination);
        }
        for change in output.changes {
            self.change_log.log(&change);
        }
    }

    /// Tells the decisions what has changed in the view.
    fn report_view(&mut self) {
        let view = self.node.view();
        if view == self.reported_view || !self.act {
            return;
        }
        self.reported_view = view;
        // the driver lives as long as the process
        let _ = self
            .dependencies
            .driver
            .send(DriverInput::FleetView(Some(FleetView {
                present: view.present,
                suspects: view.suspects,
                departed: view.departed,
                agreeing: view.agreeing,
                isolated: view.isolated,
            })));
    }

    async fn store(&mut self) {
        self.stored_at = Instant::now();
        let folder = self.dependencies.state_folder.clone();
        let remembered = self.node.persisted_state();
        let write = tokio::task::spawn_blocking(move || remembered::store(&folder, &remembered));
        let written = timeout_at(Instant::now() + STORE_TIMEOUT, write).await;
        if let Ok(Ok(Err(error))) = written {
            log(format_args!("members: not remembered: {error}"));
        }
    }

    fn report(&self) -> String {
        let view = self.node.view();
        to_sorted_json(&MembersReport {
            name: self.node.name(),
            incarnation: self.node.incarnation(),
            health_score: self.node.health_score(),
            isolated: view.isolated,
            present: view.present,
            suspects: view.suspects,
            departed: view.departed,
            agreeing: view.agreeing,
            expected_members: self.node.settings().expected_members,
            fleet_size: self.dependencies.fleet_size.get(),
            counters: self.node.counters(),
            members: self.node.member_reports(self.dependencies.now()),
        })
    }
}
