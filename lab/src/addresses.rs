//! The loopback addresses of a run: every run has a block 127.B.0.0/16 of its own.

use anyhow::bail;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Ports on a sender's own address.
const CLIENT_PORT: u16 = 8000;
const CONTROL_PORT: u16 = 8001;
const MEMBERSHIP_PORT: u16 = 8002;
/// Every second process of a sender has its control address on this port.
const ALTERNATE_CONTROL_PORT: u16 = 8011;
/// Port of the lab's socket by which the others reach a sender's membership socket.
const ADVERTISED_PORT: u16 = 9000;
/// Ports of a replica of the registry.
const REGISTRY_CLIENT_PORT: u16 = 8500;
const REGISTRY_PEER_PORT: u16 = 8600;
/// Held by a run, so that no two runs share a block.
const CLAIM_PORT: u16 = 7999;

/// Number of blocks that a run may have, and the first of them.
const BLOCKS: u8 = 120;
const FIRST_BLOCK: u8 = 2;
/// Addresses that are used of a subnet 127.B.x.0/24.
const ADDRESSES_OF_SUBNET: usize = 250;

/// First subnets of the groups of addresses in a block.
const SENDER_SUBNET: u8 = 0;
const LAB_SUBNET: u8 = 100;
const REPLICA_SUBNET: u8 = 200;
const REPLICA_LINK_SUBNET: u8 = 210;

/// Who is served on a port of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaPort {
    /// Clients of the registry's HTTP interface.
    Clients,
    /// The other replicas.
    Peers,
}

impl ReplicaPort {
    fn number(self) -> u16 {
        match self {
            ReplicaPort::Clients => REGISTRY_CLIENT_PORT,
            ReplicaPort::Peers => REGISTRY_PEER_PORT,
        }
    }
}

/// The control port of one process of a sender. A process and its successor have different ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlPort {
    /// The first process and every second one after it.
    Primary,
    /// The processes between them.
    Alternate,
}

impl ControlPort {
    /// The port of the next process.
    pub fn other(self) -> Self {
        match self {
            ControlPort::Primary => ControlPort::Alternate,
            ControlPort::Alternate => ControlPort::Primary,
        }
    }

    fn number(self) -> u16 {
        match self {
            ControlPort::Primary => CONTROL_PORT,
            ControlPort::Alternate => ALTERNATE_CONTROL_PORT,
        }
    }
}

/// The addresses of a run: 127.B.x.y, with a B of its own.
#[derive(Debug)]
pub struct Addresses {
    block: u8,
    _claim: TcpListener,
}

impl Addresses {
    /// Claims a block that no other run has.
    ///
    /// # Errors
    /// All blocks are claimed.
    pub fn claim() -> anyhow::Result<Self> {
        let first = std::process::id() as u8 & 63;
        for block in (0..BLOCKS).map(|step| FIRST_BLOCK + (first + step) % BLOCKS) {
            let address = (Ipv4Addr::new(127, block, 255, 254), CLAIM_PORT);
            if let Ok(claim) = TcpListener::bind(address) {
                return Ok(Addresses {
                    block,
                    _claim: claim,
                });
            }
        }
        bail!("no block 127.B.0.0/16 is free for a run: port {CLAIM_PORT} is taken on all of them")
    }

    fn ip(&self, subnet: u8, number: usize) -> IpAddr {
        let high = (number / ADDRESSES_OF_SUBNET) as u8;
        let low = (number % ADDRESSES_OF_SUBNET) as u8 + 1;
        IpAddr::V4(Ipv4Addr::new(127, self.block, subnet + high, low))
    }

    fn sender_ip(&self, sender: usize) -> IpAddr {
        self.ip(SENDER_SUBNET, sender)
    }

    /// The IP address on which the lab listens for one sender.
    pub fn lab_ip(&self, sender: usize) -> IpAddr {
        self.ip(LAB_SUBNET, sender)
    }

    /// Where a sender listens for clients.
    pub fn client_address(&self, sender: usize) -> SocketAddr {
        (self.sender_ip(sender), CLIENT_PORT).into()
    }

    /// Where a process of a sender answers operators.
    pub fn control_address(&self, sender: usize, port: ControlPort) -> SocketAddr {
        (self.sender_ip(sender), port.number()).into()
    }

    /// Where a sender's membership socket listens.
    pub fn membership_address(&self, sender: usize) -> SocketAddr {
        (self.sender_ip(sender), MEMBERSHIP_PORT).into()
    }

    /// The address by which the others know a sender's membership socket: the lab's, which passes datagrams on.
    pub fn advertised_address(&self, sender: usize) -> SocketAddr {
        (self.lab_ip(sender), ADVERTISED_PORT).into()
    }

    /// Where a replica of the registry listens.
    pub fn replica_address(&self, replica: usize, port: ReplicaPort) -> SocketAddr {
        (self.ip(REPLICA_SUBNET, replica), port.number()).into()
    }

    /// Where one replica finds another: an address of the lab, which passes bytes on.
    pub fn replica_link_address(&self, from: usize, to: usize, port: ReplicaPort) -> SocketAddr {
        let subnet = REPLICA_LINK_SUBNET + from as u8;
        (self.ip(subnet, to), port.number()).into()
    }

    /// Where a sender finds a replica: an address of the lab, which passes bytes on.
    pub fn registry_link_address(&self, sender: usize, replica: usize) -> SocketAddr {
        let port = REGISTRY_CLIENT_PORT + replica as u16;
        (self.lab_ip(sender), port).into()
    }
}
