//! What a follower can't answer goes on to the leader, one hop.

use super::Server;
use super::api::{ApiError, ApiRequest, ApiResult, Body, HOP, no_content, text};
use crate::commands::ClientRequest;
use crate::replica::{Answer, Replica};
use crate::round_trip::round_trip;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, IF_MATCH, RETRY_AFTER};
use hyper::{Method, Request, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;
use versioned_config::Micros;

/// The longest time for the leader to answer a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of a read that must be up to date.
pub(super) enum Read<T> {
    /// Read from this replica's state.
    Here(T),
    /// The leader's response, in place of this replica's.
    Forwarded(Response<Body>),
}

impl Server {
    /// The response to an answer that is not the one that its handler expects. What only the leader can answer is forwarded.
    pub(super) async fn respond_to(&self, request: &ApiRequest, answer: Answer) -> ApiResult {
        match answer {
            Answer::NotLeader(leader) => self.forward_to_leader(request, leader).await,
            Answer::OutcomeUnknown => Err(ApiError::OutcomeUnknown),
            Answer::Busy(reason) => Err(ApiError::Busy(reason)),
            Answer::OtherFallback => Err(ApiError::OtherFallback),
            Answer::Rejected(error) => Err(error.into()),
            Answer::Applied(_) | Answer::Granted(_) | Answer::Quotas(_) | Answer::UpToDate => {
                Ok(no_content())
            }
        }
    }

    /// Forwards a request to the leader, as this replica knows it now.
    pub(super) async fn forward_to_current_leader(&self, request: &ApiRequest) -> ApiResult {
        let leader = self.replica.view.borrow().leader;
        self.forward_to_leader(request, leader).await
    }

    async fn forward_to_leader(&self, request: &ApiRequest, leader: Option<u64>) -> ApiResult {
        let other = leader.filter(|leader| *leader != self.id && !request.forwarded);
        let leader = other.ok_or(ApiError::NoLeader)?;
        let addresses = self.replica.view.borrow().addresses.get(&leader).copied();
        let addresses = addresses.ok_or(ApiError::LeaderAddressUnknown)?;
        forward(addresses.clients, request).await
    }

    /// Waits until what is applied here is at least what was answered before the request. The leader's response, if this
    /// replica can't tell.
    pub(super) async fn read_barrier(&self, request: &ApiRequest) -> Result<Read<()>, ApiError> {
        match self.replica.request(ClientRequest::Read).await? {
            Answer::UpToDate => Ok(Read::Here(())),
            answer => self.respond_to(request, answer).await.map(Read::Forwarded),
        }
    }

    /// Reads from the replica once it is up to date.
    pub(super) async fn read<T: Send + 'static>(
        &self,
        request: &ApiRequest,
        read: impl FnOnce(&mut Replica, Micros) -> T + Send + 'static,
    ) -> Result<Read<T>, ApiError> {
        match self.read_barrier(request).await? {
            Read::Here(()) => Ok(Read::Here(self.replica.inspect(read).await?)),
            Read::Forwarded(response) => Ok(Read::Forwarded(response)),
        }
    }
}

/// Sends the same request to another replica.
async fn forward(address: SocketAddr, request: &ApiRequest) -> ApiResult {
    let path = match request.query.as_str() {
        "" => request.path.clone(),
        query => format!("{}?{query}", request.path),
    };
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(path)
        .header(HOST, address.to_string());
    if let Some(version) = &request.if_match {
        builder = builder.header(IF_MATCH, version);
    }
    let forwarded = builder
        .header(HOP, "1")
        .body(Full::<Bytes>::from(request.body.clone()))?;
    match timeout(FORWARD_TIMEOUT, round_trip(address, forwarded)).await {
        Ok(Ok(response)) => Ok(copy_response(response)),
        // it may have come to the leader
        _ if request.method != Method::GET => Err(ApiError::LeaderSilentOnWrite),
        _ => Err(ApiError::LeaderSilent),
    }
}

fn copy_response(response: Response<Bytes>) -> Response<Body> {
    let (head, body) = response.into_parts();
    let mut copy = text(head.status, body);
    for name in [CONTENT_TYPE, RETRY_AFTER] {
        if let Some(value) = head.headers.get(&name) {
            copy.headers_mut().insert(name, value.clone());
        }
    }
    copy
}
