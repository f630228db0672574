//! The subcommands that send requests to a running replica.

mod arguments;
mod compare;
mod requests;

pub use arguments::ClientCommand;

use arguments::{PutArguments, Replicas};
use compare::compare;
use fleet_registry::settings::read_rules;
use hyper::Method;
use requests::{ApiCall, ClientError};
use serde_json::{Value, json};

/// Runs a subcommand; whether it was done.
///
/// # Errors
/// No replica answers, or a file can't be read.
pub async fn run(command: ClientCommand) -> anyhow::Result<bool> {
    let done = match command {
        ClientCommand::Status { replicas } => replicas.show(ApiCall::get("/v1/status")).await,
        ClientCommand::List { replicas } => replicas.show(ApiCall::get("/v1/endpoints")).await,
        ClientCommand::Put { replicas, endpoint } => put(&replicas, endpoint).await,
        ClientCommand::Drain {
            replicas,
            uid,
            wait,
        } => drain(&replicas, &uid, wait).await,
        ClientCommand::Remove { replicas, uid } => {
            replicas
                .show(ApiCall::new(Method::DELETE, format!("/v1/endpoints/{uid}")))
                .await
        }
        ClientCommand::Show {
            replicas,
            version: None,
        } => replicas.show(ApiCall::get("/v1/rules")).await,
        ClientCommand::Show {
            replicas,
            version: Some(version),
        } => {
            replicas
                .show(ApiCall::get(format!("/v1/rules/{version}")))
                .await
        }
        ClientCommand::Compare {
            replicas,
            one,
            other,
        } => compare(&replicas, one, other).await,
        ClientCommand::Rules {
            replicas,
            file,
            if_match,
        } => {
            let rules = serde_json::to_value(read_rules(&file)?)?;
            let call = ApiCall::new(Method::PUT, "/v1/rules")
                .if_match(if_match)
                .body(rules);
            replicas.show(call).await
        }
        ClientCommand::Undo { replicas, version } => undo(&replicas, version).await,
        ClientCommand::Wait {
            replicas,
            version,
            seconds,
        } => Ok(replicas
            .wait_for(seconds, |report| is_in_force(report, version))
            .await),
        ClientCommand::Join {
            replicas,
            id,
            peers,
            clients,
        } => {
            let addresses = json!({ "peers": peers, "clients": clients });
            let call = ApiCall::new(Method::PUT, format!("/v1/replicas/{id}")).body(addresses);
            replicas.show(call).await
        }
        ClientCommand::Leave { replicas, id } => {
            replicas
                .show(ApiCall::new(Method::DELETE, format!("/v1/replicas/{id}")))
                .await
        }
        ClientCommand::Transfer { replicas } => {
            replicas
                .show(ApiCall::new(Method::POST, "/v1/transfer"))
                .await
        }
    };
    Ok(done?)
}

async fn put(replicas: &Replicas, endpoint: PutArguments) -> Result<bool, ClientError> {
    let body = json!({
        "endpoint": endpoint.endpoint, "pod_group": endpoint.pod_group, "az": endpoint.az,
        "model": endpoint.model, "capacity_hint": endpoint.capacity_hint, "boot_ms": endpoint.boot_ms,
        "ttl_ms": endpoint.ttl_ms
    });
    let call = ApiCall::new(Method::PUT, format!("/v1/endpoints/{}", endpoint.uid));
    replicas
        .show(call.if_match(endpoint.if_match).body(body))
        .await
}

async fn drain(replicas: &Replicas, uid: &str, wait: Option<u64>) -> Result<bool, ClientError> {
    let answer = replicas
        .send(&ApiCall::new(
            Method::POST,
            format!("/v1/endpoints/{uid}/drain"),
        ))
        .await?;
    answer.print();
    match (wait, answer.json()["rev"].as_u64()) {
        (Some(seconds), Some(rev)) => Ok(replicas
            .wait_for(seconds, |report| all_act_on_list(report, rev))
            .await),
        _ => Ok(answer.is_success()),
    }
}

async fn undo(replicas: &Replicas, version: u64) -> Result<bool, ClientError> {
    let Some(rules) = replicas.stored_rules(version).await? else {
        return Ok(false);
    };
    let rules = serde_json::to_value(rules)?;
    replicas
        .show(ApiCall::new(Method::PUT, "/v1/rules").body(rules))
        .await
}

/// Whether a version, or a later one, is in force everywhere.
fn is_in_force(report: &Value, version: u64) -> bool {
    let superseded = report["version"]
        .as_u64()
        .is_some_and(|current| current > version);
    superseded || report["version"] == version && report["settled"] == true
}

/// Whether every sender with a lease acts on this version of the endpoint list or a later one.
fn all_act_on_list(report: &Value, rev: u64) -> bool {
    let leases = report["leases"].as_array();
    leases.is_some_and(|leases| {
        leases
            .iter()
            .all(|lease| lease["rev"].as_u64() >= Some(rev))
    })
}
