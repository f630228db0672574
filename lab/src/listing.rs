//! Discovery by the registry's replicas: what a replica lists, with the addresses at which one sender finds the endpoints.

use crate::clients;
use crate::history::Event;
use crate::relay::Net;
use crate::schedule::Party;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use hyper::{Request, StatusCode};
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How long a replica may take to begin its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Lines under way to one sender.
const AHEAD: usize = 4;

/// Where one sender's lists come from, and where it finds each endpoint.
#[derive(Debug)]
pub struct Listing {
    pub sender: usize,
    /// The replica that it asks, and where that is.
    pub replica: usize,
    pub address: SocketAddr,
    pub endpoints: Vec<SocketAddr>,
}

/// The number of an endpoint by its name.
fn number(uid: &Value) -> Option<usize> {
    uid.as_str()?.strip_prefix('e')?.parse().ok()
}

impl Listing {
    /// A line as this sender is to read it, and which endpoints it tells to be up or not.
    fn rewrite(&self, line: &[u8]) -> Option<(Bytes, Vec<(usize, bool)>)> {
        let mut list: Value = serde_json::from_slice(line).ok()?;
        let mut told = Vec::new();
        for target in list["targets"].as_array_mut()? {
            // what the registry's other clients write is no endpoint of the lab
            let Some(endpoint) = number(&target["uid"]) else {
                continue;
            };
            told.push((endpoint, target["state"] == "up"));
            target["endpoint"] = self.endpoints.get(endpoint)?.to_string().into();
        }
        Some((format!("{list}\n").into(), told))
    }

    /// Asks the replica, and passes its lines on as they come; none: it does not answer with a list.
    pub async fn ask(self: Arc<Self>, query: String, net: Arc<Net>) -> Option<Lines> {
        let begin = async {
            let mut link = clients::connect(self.address).await?;
            let path = format!("/v1/endpoints?{query}");
            let request = Request::get(path)
                .header("host", "lab")
                .body(Full::default())
                .ok()?;
            link.send_request(request)
                .await
                .ok()
                .filter(|response| response.status() == StatusCode::OK)
        };
        let mut body = timeout(ANSWER_TIMEOUT, begin).await.ok()??.into_body();
        let (lines, passed) = mpsc::channel(AHEAD);
        tokio::spawn(async move {
            let mut rest = Vec::new();
            while let Some(Ok(frame)) = body.frame().await {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                rest.extend_from_slice(&data);
                while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                    let line: Vec<u8> = rest.drain(..=end).collect();
                    let passed = self.rewrite(&line);
                    let (line, told) = passed.unwrap_or_else(|| (Bytes::from(line), Vec::new()));
                    // what a cut holds up is told when it heals
                    net.uncut(Party::Registry(self.replica), Party::Sender(self.sender))
                        .await;
                    if lines.send(line).await.is_err() {
                        return;
                    }
                    for (endpoint, up) in told {
                        net.history.record(Event::EndpointListed {
                            sender: self.sender,
                            endpoint,
                            up,
                        });
                    }
                }
            }
        });
        Some(Lines(passed))
    }
}

/// What a replica tells one sender, as it comes.
#[derive(Debug)]
pub struct Lines(mpsc::Receiver<Bytes>);

impl hyper::body::Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(context)
            .map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

#[cfg(test)]
mod tests;
