//! HTTP server for clients: reads the messages that they submit, passes them to the driver and answers with its
//! decision.

mod accept;
mod error;
mod headers;
mod request_body;

use super::connection::{self, ClientPresence, ConnectionState, HttpSettings};
use super::end_proof::DepartedClient;
use super::events::{DriverInput, Submission, SubmissionResult};
use super::message_log;
use super::request_memory::RequestMemory;
pub use accept::{OpenConnections, accept};
use bytes::Bytes;
use error::RequestError;
use headers::MessageHead;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use message_sender::memory::MAX_HEAD_BYTES;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::Instant;

/// Time without a request after which a connection is closed; 2 s is the minimum. A head that has begun by then gets
/// [`connection::CLOSE_GRACE`] more, and a body [`request_body::BODY_TIMEOUT`] more: the sum must stay below 3 s, the limit
/// for closing the connection of a peer that sends no complete request.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Size of a connection's send buffer in bytes; an answer takes a few hundred.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// Path of the readiness check.
const READINESS_PATH: &str = "/ready";

/// Message class of the settings, with what the server must know to check a request.
#[derive(Debug, Clone)]
pub struct ClassEntry {
    /// Name of the class, as the request's path and `X-Priority-Class` give it.
    pub name: String,
    /// Position of the class in the settings of the decision module.
    pub index: usize,
    /// True if messages of the class must carry an idempotency key.
    pub key_required: bool,
}

/// Current message classes, replaced when the settings change.
pub type Classes = Rc<RefCell<Vec<ClassEntry>>>;

/// State shared by all connections of clients.
pub struct Server {
    /// Message classes that requests may name at present.
    pub classes: Classes,
    /// Channel to the driver for submitted messages and for clients that disconnect.
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// Turns true once the process can accept messages.
    pub ready: watch::Receiver<bool>,
    /// True once the process drains; each answer then closes its connection.
    pub draining: Rc<Cell<bool>>,
    /// One permit for each client connection that may be open at once.
    pub connection_permits: Arc<Semaphore>,
    /// Connections that are open at present.
    pub connections: Rc<OpenConnections>,
    /// Memory for requests that need more than the share of their connection.
    pub memory: RequestMemory,
    /// Turns true when the successor has taken over the listening socket; this process then stops accepting
    /// connections.
    pub handed_over: watch::Receiver<bool>,
    /// Turns true when the shutdown closes all connections as soon as they carry no request.
    pub closing: watch::Receiver<bool>,
}

/// Accepts and serves client connections until the successor takes over.
pub async fn serve(listener: TcpListener, server: Rc<Server>) {
    let permits = server.connection_permits.clone();
    let connections = server.connections.clone();
    let handed_over = server.handed_over.clone();
    accept(
        "clients",
        listener,
        permits,
        connections,
        handed_over,
        move |stream, state| {
            let server = server.clone();
            async move { serve_connection(stream, server, &state).await }
        },
    )
    .await;
}

async fn serve_connection(stream: TcpStream, server: Rc<Server>, state: &Rc<ConnectionState>) {
    let mut closing = server.closing.clone();
    let free_bytes = server.memory.free_head_bytes();
    let service = move |presence: ClientPresence| {
        service_fn(move |request| {
            let client = Client {
                state: state.clone(),
                presence: presence.clone(),
            };
            // before the handler is first polled: the connection must not be closed between the head of a request and its
            // handling
            client.state.begin_request();
            let server = server.clone();
            async move {
                client.state.answers_written().await;
                client.state.set_idle(false);
                client.state.take_turn().await;
                let answer = answer(request, &server, &client).await;
                client.state.end_request();
                answer
            }
        })
    };
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    connection::serve(
        stream,
        state,
        HttpSettings {
            http,
            idle_timeout: IDLE_TIMEOUT,
            send_buffer_bytes: Some(SEND_BUFFER_BYTES),
            free_bytes: Some(free_bytes),
        },
        service,
        closing.wait_for(|closing| *closing),
    )
    .await;
}

/// Client whose request is handled.
struct Client {
    state: Rc<ConnectionState>,
    presence: ClientPresence,
}

async fn answer(
    request: Request<Incoming>,
    server: &Server,
    client: &Client,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let handled = handle(request, server, client).await;
    let mut response = handled.unwrap_or_else(|FailedRequest { id, error }| {
        message_log::log_failed_request(id.as_ref(), &error);
        error_response(error)
    });
    let gives_way = client.state.is_closing()
        || client.state.holds_head_memory() && server.memory.is_head_memory_short();
    if server.draining.get() || gives_way {
        close_after(&mut response);
    }
    Ok(response)
}

fn error_response(error: RequestError) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{error}\n")));
    *response.status_mut() = error.status();
    if let Some(method) = error.allowed_method() {
        let method = HeaderValue::from_static(method);
        response.headers_mut().insert(ALLOW, method);
    }
    if error.ends_connection() {
        close_after(&mut response);
    }
    response
}

/// Marks the response with `Connection: close`, so that the connection closes after it.
fn close_after(response: &mut Response<Full<Bytes>>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Request that failed without a decision of the driver, for the log and the answer.
struct FailedRequest {
    /// Id of the message, if the head of the request is valid.
    id: Option<HeaderValue>,
    error: RequestError,
}

impl From<RequestError> for FailedRequest {
    fn from(error: RequestError) -> Self {
        FailedRequest { id: None, error }
    }
}

async fn handle(
    request: Request<Incoming>,
    server: &Server,
    client: &Client,
) -> Result<Response<Full<Bytes>>, FailedRequest> {
    let received_at = Instant::now();
    if request.uri().path() == READINESS_PATH {
        return Ok(readiness(request.method(), server)?);
    }
    let head = MessageHead::read(&request, &server.classes.borrow())?;
    let id = head.id.clone();
    submit(request, head, received_at, server, client)
        .await
        .map_err(|error| FailedRequest {
            id: Some(id),
            error,
        })
}

/// Reads the body of a message, submits it to the driver and returns the answer with its decision.
async fn submit(
    request: Request<Incoming>,
    head: MessageHead,
    received_at: Instant,
    server: &Server,
    client: &Client,
) -> Result<Response<Full<Bytes>>, RequestError> {
    let body = request_body::read(request, client, &server.memory).await?;
    if !*server.ready.borrow() {
        return Err(RequestError::NotReady);
    }
    let memory = server.memory.submission(body.reservation).await?;
    let (reply, result) = oneshot::channel();
    let submission = Submission {
        id: head.id,
        key: head.key,
        subject: head.subject,
        tenant: head.tenant,
        class: head.class,
        destination: head.destination,
        time_limit: head.time_limit,
        received_at,
        resubmitted: head.resubmitted,
        previous_sender_failed: head.previous_sender_failed,
        body: body.bytes,
        client: Some(client.presence.clone()),
        memory: Some(memory),
        reply,
    };
    let mut guard = DisconnectGuard {
        id: submission.id.clone(),
        result: Some(result),
        has_accepted_unheard: false,
        inputs: &server.inputs,
    };
    if server
        .inputs
        .send(DriverInput::Submitted(submission))
        .is_err()
    {
        return Err(RequestError::ShuttingDown);
    }
    let Some(result) = guard.result(&client.presence).await else {
        return Err(RequestError::ClientLeft);
    };
    Ok(submission_response(result))
}

fn readiness(method: &Method, server: &Server) -> Result<Response<Full<Bytes>>, RequestError> {
    if method != Method::GET {
        return Err(RequestError::OnlyGet);
    }
    if *server.ready.borrow() && !server.draining.get() {
        Ok(Response::default())
    } else {
        Err(RequestError::NotReady)
    }
}

fn submission_response(result: SubmissionResult) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = match result {
        SubmissionResult::Accepted => StatusCode::ACCEPTED,
        SubmissionResult::AlreadyDelivered => StatusCode::OK,
        SubmissionResult::Rejected { .. } => StatusCode::TOO_MANY_REQUESTS,
        SubmissionResult::NotStored => StatusCode::SERVICE_UNAVAILABLE,
        SubmissionResult::Failed => StatusCode::INTERNAL_SERVER_ERROR,
    };
    if let SubmissionResult::Rejected {
        retry_after: Some(wait),
    } = result
    {
        let seconds = format!("{:.3}", wait as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Guard of a client's request that notifies the driver if the client disconnects before its answer, since such a
/// client submits its message again to another sender. The notification is sent when the guard is dropped: hyper drops
/// the request's future when the connection closes.
struct DisconnectGuard<'a> {
    id: HeaderValue,
    /// Receives the driver's decision; `None` once the decision has been handed on to the client.
    result: Option<oneshot::Receiver<SubmissionResult>>,
    /// True if the driver has accepted the message, and the client had left by then.
    has_accepted_unheard: bool,
    inputs: &'a mpsc::UnboundedSender<DriverInput>,
}

impl DisconnectGuard<'_> {
    /// Waits for the driver's decision. From then on the client counts as answered, unless it has left meanwhile: `None`.
    async fn result(&mut self, client: &ClientPresence) -> Option<SubmissionResult> {
        let result = self.result.as_mut()?.await;
        let result = result.unwrap_or(SubmissionResult::NotStored);
        let is_heard = result != SubmissionResult::Accepted || !client.has_left();
        self.has_accepted_unheard = !is_heard;
        self.result = None;
        is_heard.then_some(result)
    }
}

impl DisconnectGuard<'_> {
    /// Returns whether the driver has accepted the message, or may still accept it. A message that was not accepted must
    /// not be withdrawn: its id may by now name another client's message.
    fn awaits_answer(&mut self) -> bool {
        let Some(result) = &mut self.result else {
            return false;
        };
        match result.try_recv() {
            Ok(result) => result == SubmissionResult::Accepted,
            Err(TryRecvError::Empty) => true,
            // dropped without a decision: the driver found that the client had left
            Err(TryRecvError::Closed) => false,
        }
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.has_accepted_unheard && !self.awaits_answer() {
            return;
        }
        let client = DepartedClient {
            id: self.id.clone(),
        };
        // the receiver is dropped only when the process ends
        let _ = self.inputs.send(DriverInput::ClientDisconnected(client));
    }
}

#[cfg(test)]
mod compatibility;
