//! Outcome notifications of senders: how many messages failed or were returned.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, no_content};
use serde::Deserialize;
use std::sync::atomic::Ordering;

#[derive(Deserialize)]
struct OutcomeNotification {
    id: String,
    state: Outcome,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Outcome {
    Failed,
    Returned,
}

/// `POST /v1/outcomes`: one notification a line, all of them or none.
pub(super) fn record(request: &ApiRequest, server: &Server) -> ApiResult {
    let lines = request.body.split(|byte| *byte == b'\n').enumerate();
    let mut notifications = Vec::new();
    for (number, line) in lines.filter(|(_, line)| !line.trim_ascii().is_empty()) {
        let notification: OutcomeNotification =
            serde_json::from_slice(line).map_err(|error| ApiError::OutcomeLine {
                line: number + 1,
                error,
            })?;
        notifications.push(notification);
    }
    for OutcomeNotification { id, state } in notifications {
        let counter = match state {
            Outcome::Failed => &server.metrics.failed_outcomes,
            Outcome::Returned => &server.metrics.returned_outcomes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(id, outcome = ?state, "outcome notification");
    }
    Ok(no_content())
}
