//! The subcommands that ask a running replica.

use crate::Where;
use bytes::Bytes;
use clap::Subcommand;
use fleet_registry::exchange::exchange;
use fleet_registry::settings::rules_of;
use hyper::header::{HOST, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};
use versioned_config::Rules;

/// How long one replica may take for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(100);

/// What can be asked.
#[derive(Subcommand)]
pub enum Ask {
    /// Shows how a replica stands.
    Status {
        #[command(flatten)]
        at: Where,
    },
    /// Shows the list.
    List {
        #[command(flatten)]
        at: Where,
    },
    /// Puts an endpoint into the list, just as told.
    Put {
        #[command(flatten)]
        at: Where,
        /// Its name.
        uid: String,
        /// Its address.
        endpoint: SocketAddr,
        /// Its destination.
        #[arg(long)]
        pod_group: u64,
        /// Its zone.
        #[arg(long, default_value = "")]
        az: String,
        /// Its kind.
        #[arg(long, default_value = "")]
        model: String,
        /// Calls a second that its destination takes, roughly.
        #[arg(long, default_value_t = 0.0)]
        capacity_hint: f64,
        /// When it last started, Unix time in ms.
        #[arg(long, default_value_t = 0)]
        boot_ms: u64,
        /// Removed when no heartbeat comes for so long, ms.
        #[arg(long)]
        ttl_ms: Option<u64>,
        /// Only if the list has this version.
        #[arg(long)]
        if_match: Option<u64>,
    },
    /// Has an endpoint finish what it has and get nothing new.
    Drain {
        #[command(flatten)]
        at: Where,
        /// Its name.
        uid: String,
        /// Waits until every sender with a lease acts on the list, at most so many seconds.
        #[arg(long)]
        wait: Option<u64>,
    },
    /// Takes an endpoint out of the list.
    Remove {
        #[command(flatten)]
        at: Where,
        /// Its name.
        uid: String,
    },
    /// Shows the rules, who acts on what, and who is waited for.
    Show {
        #[command(flatten)]
        at: Where,
        /// A version of before, in place of the one in force.
        version: Option<u64>,
    },
    /// Shows in which keys two versions differ, and whether they contradict each other.
    Compare {
        #[command(flatten)]
        at: Where,
        /// One version.
        one: u64,
        /// The other.
        other: u64,
    },
    /// Puts other rules in force, by way of the meet.
    Rules {
        #[command(flatten)]
        at: Where,
        /// The rules, a JSON file.
        file: PathBuf,
        /// Only if this version is in force.
        #[arg(long)]
        if_match: Option<u64>,
    },
    /// Goes back to the rules of an earlier version, by a new version.
    Undo {
        #[command(flatten)]
        at: Where,
        /// The earlier version.
        version: u64,
    },
    /// Waits until a version is in force everywhere.
    Wait {
        #[command(flatten)]
        at: Where,
        /// The version.
        version: u64,
        /// Longest time, s.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// Takes a replica in: it gets the log first, and votes once it has it.
    Join {
        #[command(flatten)]
        at: Where,
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
        at: Where,
        /// Its number.
        id: u64,
    },
    /// Has another replica lead.
    Transfer {
        #[command(flatten)]
        at: Where,
    },
}

/// Asks; whether it was done.
///
/// # Errors
/// No replica answers, or a file can't be read.
pub async fn ask(ask: Ask) -> anyhow::Result<bool> {
    match ask {
        Ask::Status { at } => at.show(Method::GET, "/v1/status", None, Value::Null).await,
        Ask::List { at } => {
            at.show(Method::GET, "/v1/endpoints", None, Value::Null)
                .await
        }
        Ask::Put {
            at,
            uid,
            endpoint,
            pod_group,
            az,
            model,
            capacity_hint,
            boot_ms,
            ttl_ms,
            if_match,
        } => {
            let target = json!({ "endpoint": endpoint, "pod_group": pod_group, "az": az, "model": model,
                "capacity_hint": capacity_hint, "boot_ms": boot_ms, "ttl_ms": ttl_ms });
            at.show(
                Method::PUT,
                &format!("/v1/endpoints/{uid}"),
                if_match,
                target,
            )
            .await
        }
        Ask::Drain { at, uid, wait } => {
            let path = format!("/v1/endpoints/{uid}/drain");
            let (status, body) = at.ask(Method::POST, &path, None, Value::Null).await?;
            let rev = print(status, &body)["rev"].as_u64();
            match (wait, rev) {
                (Some(seconds), Some(rev)) => {
                    at.wait(seconds, |report| acts_on_list(report, rev)).await
                }
                _ => Ok(status.is_success()),
            }
        }
        Ask::Remove { at, uid } => {
            at.show(
                Method::DELETE,
                &format!("/v1/endpoints/{uid}"),
                None,
                Value::Null,
            )
            .await
        }
        Ask::Show { at, version: None } => {
            at.show(Method::GET, "/v1/rules", None, Value::Null).await
        }
        Ask::Show {
            at,
            version: Some(version),
        } => {
            at.show(
                Method::GET,
                &format!("/v1/rules/{version}"),
                None,
                Value::Null,
            )
            .await
        }
        Ask::Compare { at, one, other } => compare(&at, one, other).await,
        Ask::Rules { at, file, if_match } => {
            let rules = serde_json::to_value(rules_of(&file)?)?;
            at.show(Method::PUT, "/v1/rules", if_match, rules).await
        }
        Ask::Undo { at, version } => match at.version(version).await? {
            Some(rules) => {
                at.show(Method::PUT, "/v1/rules", None, serde_json::to_value(rules)?)
                    .await
            }
            None => Ok(false),
        },
        Ask::Wait {
            at,
            version,
            seconds,
        } => {
            at.wait(seconds, |report| {
                let passed = report["version"].as_u64().is_some_and(|now| now > version);
                passed || report["version"] == version && report["settled"] == true
            })
            .await
        }
        Ask::Join {
            at,
            id,
            peers,
            clients,
        } => {
            let place = json!({ "peers": peers, "clients": clients });
            at.show(Method::PUT, &format!("/v1/replicas/{id}"), None, place)
                .await
        }
        Ask::Leave { at, id } => {
            at.show(
                Method::DELETE,
                &format!("/v1/replicas/{id}"),
                None,
                Value::Null,
            )
            .await
        }
        Ask::Transfer { at } => {
            at.show(Method::POST, "/v1/transfer", None, Value::Null)
                .await
        }
    }
}

/// Every sender that holds a lease acts on this list or a later one.
fn acts_on_list(report: &Value, rev: u64) -> bool {
    let leases = report["leases"].as_array();
    leases.is_some_and(|leases| {
        leases
            .iter()
            .all(|lease| lease["rev"].as_u64() >= Some(rev))
    })
}

/// Prints an answer, a refusal on the other stream; the answer as JSON, if it is.
fn print(status: StatusCode, body: &[u8]) -> Value {
    let text = String::from_utf8_lossy(body);
    if status.is_success() {
        println!(
            "{}",
            if text.trim().is_empty() {
                "done"
            } else {
                text.trim_end()
            }
        );
    } else {
        eprintln!("fleet-registry: {status}: {}", text.trim_end());
    }
    serde_json::from_slice(body).unwrap_or_default()
}

async fn compare(at: &Where, one: u64, other: u64) -> anyhow::Result<bool> {
    let (Some(first), Some(second)) = (at.version(one).await?, at.version(other).await?) else {
        return Ok(false);
    };
    let how = match (first.is_within(&second), second.is_within(&first)) {
        (true, true) => "allow the same",
        (true, false) => "the first is the stricter",
        (false, true) => "the second is the stricter",
        (false, false) => "contradict each other",
    };
    println!("{one} and {other}: {how}");
    let (first, second) = (serde_json::to_value(first)?, serde_json::to_value(second)?);
    differences("", &first, &second);
    Ok(true)
}

fn differences(path: &str, one: &Value, other: &Value) {
    match (one, other) {
        (Value::Object(first), Value::Object(second)) => {
            let names = first
                .keys()
                .chain(second.keys().filter(|name| !first.contains_key(*name)));
            for name in names {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                differences(&path, &one[name], &other[name]);
            }
        }
        _ if one != other => println!("{path}: {one} -> {other}"),
        _ => {}
    }
}

impl Where {
    async fn version(&self, version: u64) -> anyhow::Result<Option<Rules>> {
        let (status, body) = self
            .ask(
                Method::GET,
                &format!("/v1/rules/{version}"),
                None,
                Value::Null,
            )
            .await?;
        if !status.is_success() {
            print(status, &body);
            return Ok(None);
        }
        let answer: Value = serde_json::from_slice(&body)?;
        Ok(Some(serde_json::from_value(answer["rules"].clone())?))
    }

    async fn show(
        &self,
        method: Method,
        path: &str,
        if_match: Option<u64>,
        body: Value,
    ) -> anyhow::Result<bool> {
        let (status, body) = self.ask(method, path, if_match, body).await?;
        print(status, &body);
        Ok(status.is_success())
    }

    /// Looks at the rules until it holds.
    async fn wait(&self, seconds: u64, holds: impl Fn(&Value) -> bool) -> anyhow::Result<bool> {
        let until = Instant::now() + Duration::from_secs(seconds);
        loop {
            let answer = self.ask(Method::GET, "/v1/rules", None, Value::Null).await;
            let report = answer.ok().filter(|(status, _)| status.is_success());
            let report = report.and_then(|(_, body)| serde_json::from_slice::<Value>(&body).ok());
            if report.as_ref().is_some_and(&holds) {
                println!("in force");
                return Ok(true);
            }
            if Instant::now() >= until {
                let waits = report.map(|report| report["not_acknowledged"].to_string());
                eprintln!(
                    "fleet-registry: not in force after {seconds} s; waits for {}",
                    waits.unwrap_or_else(|| "an answer".to_string())
                );
                return Ok(false);
            }
            sleep(LOOK).await;
        }
    }

    /// Asks the replicas in turn until one answers for good.
    async fn ask(
        &self,
        method: Method,
        path: &str,
        if_match: Option<u64>,
        body: Value,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let mut last = Err(anyhow::anyhow!("no registry is named"));
        for address in &self.registries {
            let once = call(*address, method.clone(), path, if_match, text.clone());
            last = timeout(PATIENCE, once)
                .await
                .unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time")))
                .map_err(|error| error.context(address.to_string()));
            if last
                .as_ref()
                .is_ok_and(|(status, _)| *status != StatusCode::SERVICE_UNAVAILABLE)
            {
                break;
            }
        }
        last
    }
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    if_match: Option<u64>,
    body: String,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    if let Some(version) = if_match {
        request = request.header(IF_MATCH, version);
    }
    let (head, body) = exchange(address, request.body(body.into())?)
        .await?
        .into_parts();
    Ok((head.status, body))
}
