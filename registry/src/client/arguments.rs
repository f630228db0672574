//! The subcommands that send requests, and their flags.

use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The replicas to send requests to.
#[derive(Args)]
pub struct Replicas {
    /// A replica's address for clients; more than one are tried in turn.
    #[arg(long = "registry", global = true, default_value = "127.0.0.1:8500")]
    pub registries: Vec<SocketAddr>,
}

/// An endpoint to put into the list.
#[derive(Args)]
pub struct PutArguments {
    /// Its name.
    pub uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Its destination.
    #[arg(long)]
    pub pod_group: u64,
    /// Its zone.
    #[arg(long, default_value = "")]
    pub az: String,
    /// Its kind.
    #[arg(long, default_value = "")]
    pub model: String,
    /// Calls a second that its destination takes, roughly.
    #[arg(long, default_value_t = 0.0)]
    pub capacity_hint: f64,
    /// When it last started, Unix time in ms.
    #[arg(long, default_value_t = 0)]
    pub boot_ms: u64,
    /// Removed when no heartbeat comes for so long, ms.
    #[arg(long)]
    pub ttl_ms: Option<u64>,
    /// Only if the list has this version.
    #[arg(long)]
    pub if_match: Option<u64>,
}

/// A subcommand that sends a request.
#[derive(Subcommand)]
pub enum ClientCommand {
    /// Shows how a replica stands.
    Status {
        #[command(flatten)]
        replicas: Replicas,
    },
    /// Shows the list.
    List {
        #[command(flatten)]
        replicas: Replicas,
    },
    /// Puts an endpoint into the list, with exactly these values.
    Put {
        #[command(flatten)]
        replicas: Replicas,
        #[command(flatten)]
        endpoint: PutArguments,
    },
    /// Has an endpoint finish what it has and get nothing new.
    Drain {
        #[command(flatten)]
        replicas: Replicas,
        /// Its name.
        uid: String,
        /// Waits until every sender with a lease acts on the list, at most so many seconds.
        #[arg(long)]
        wait: Option<u64>,
    },
    /// Takes an endpoint out of the list.
    Remove {
        #[command(flatten)]
        replicas: Replicas,
        /// Its name.
        uid: String,
    },
    /// Shows the rules, who acts on what, and who is waited for.
    Show {
        #[command(flatten)]
        replicas: Replicas,
        /// A stored version, in place of the one in force.
        version: Option<u64>,
    },
    /// Shows in which keys two versions differ, and whether they contradict each other.
    Compare {
        #[command(flatten)]
        replicas: Replicas,
        /// One version.
        one: u64,
        /// The other.
        other: u64,
    },
    /// Puts other rules in force, by way of their intersection with the current ones.
    Rules {
        #[command(flatten)]
        replicas: Replicas,
        /// The rules, a JSON file.
        file: PathBuf,
        /// Only if this version is in force.
        #[arg(long)]
        if_match: Option<u64>,
    },
    /// Goes back to the rules of an earlier version, by a new version.
    Undo {
        #[command(flatten)]
        replicas: Replicas,
        /// The earlier version.
        version: u64,
    },
    /// Waits until a version is in force everywhere.
    Wait {
        #[command(flatten)]
        replicas: Replicas,
        /// The version.
        version: u64,
        /// Longest time, s.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// Takes a replica in: it gets the log first, and votes once it has it.
    Join {
        #[command(flatten)]
        replicas: Replicas,
        /// Its number.
        id: u64,
        /// Where other replicas find it.
        peers: SocketAddr,
        /// Where clients find it.
        clients: SocketAddr,
    },
    /// Takes a replica out.
    Leave {
        #[command(flatten)]
        replicas: Replicas,
        /// Its number.
        id: u64,
    },
    /// Has another replica lead.
    Transfer {
        #[command(flatten)]
        replicas: Replicas,
    },
}
