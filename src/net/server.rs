//! The HTTP server for clients: reads the messages that they submit, and answers as the driver decides.

mod accept;
mod error;
mod headers;

use super::connection::{self, ConnectionState, HttpSettings};
use super::end_proof::DepartedClient;
use super::events::{DriverInput, MAX_BODY_BYTES, Submission, SubmissionResult};
use super::message_log;
pub use accept::accept;
use bytes::Bytes;
use error::RequestError;
use headers::MessageHead;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

/// Longest time without a request: such a connection may be closed after 2 s. A head that has begun by then gets
/// [`connection::CLOSE_GRACE`] more, and with what a body may take after it, a peer that sends no proper request must have
/// its end within 3 s.
const IDLE_TIME: Duration = Duration::from_millis(2100);
/// Longest time for a body: clients wait 400 ms for their answer.
const BODY_TIME: Duration = Duration::from_millis(600);
/// Size of a connection's read buffer, and so of the longest head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Where clients ask whether the process is ready.
const READINESS_PATH: &str = "/ready";

/// A class that messages may name.
#[derive(Debug, Clone)]
pub struct ClassEntry {
    pub name: String,
    /// Its position in the settings of the decision module.
    pub index: usize,
    /// Its messages must carry an idempotency key.
    pub key_required: bool,
}

/// The current classes, which change with the settings.
pub type Classes = Rc<RefCell<Vec<ClassEntry>>>;

/// What all connections of clients share.
pub struct Server {
    /// The classes that messages may name now.
    pub classes: Classes,
    /// Submitted messages and disconnected clients, to the driver.
    pub inputs: mpsc::UnboundedSender<DriverInput>,
    /// True once the process can accept messages.
    pub ready: watch::Receiver<bool>,
    /// Set once the process shuts down: each answer then closes its connection.
    pub draining: Rc<Cell<bool>>,
    /// One for each connection that may be open at once.
    pub connection_permits: Arc<Semaphore>,
    /// Turns true when another process has taken over: none is accepted here any more.
    pub handed_over: watch::Receiver<bool>,
    /// Turns true when idle connections are to be closed too.
    pub closing: watch::Receiver<bool>,
}

/// Accepts clients for ever.
pub async fn serve(listener: TcpListener, server: Rc<Server>) {
    let permits = server.connection_permits.clone();
    let handed_over = server.handed_over.clone();
    accept(
        "clients",
        listener,
        permits,
        handed_over,
        move |stream, state| {
            let server = server.clone();
            async move { serve_one(stream, server, &state).await }
        },
    )
    .await;
}

async fn serve_one(stream: TcpStream, server: Rc<Server>, state: &Rc<ConnectionState>) {
    let mut closing = server.closing.clone();
    let service = service_fn(move |request| {
        let server = server.clone();
        // at once: no end may come between a head and its handling
        state.set_idle(false);
        async move {
            let answer = answer(request, server).await;
            state.set_idle(true);
            answer
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    connection::serve(
        stream,
        state,
        HttpSettings {
            http,
            idle_timeout: IDLE_TIME,
        },
        service,
        closing.wait_for(|closing| *closing),
    )
    .await;
}

async fn answer(
    request: Request<Incoming>,
    server: Rc<Server>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = match handle(request, &server).await {
        Ok(response) => response,
        Err(error) => {
            message_log::record_refused_request(&error);
            error_response(error)
        }
    };
    if server.draining.get() {
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
    if error.leaves_body_unread() {
        close_after(&mut response);
    }
    response
}

/// Closes the connection after this response.
fn close_after(response: &mut Response<Full<Bytes>>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

async fn handle(
    request: Request<Incoming>,
    server: &Server,
) -> Result<Response<Full<Bytes>>, RequestError> {
    let received_at = Instant::now();
    if request.uri().path() == READINESS_PATH {
        return readiness(request.method(), server);
    }
    let head = MessageHead::read(&request, &server.classes.borrow())?;
    let body = read_body(request).await?;
    if !*server.ready.borrow() {
        return Err(RequestError::NotReady);
    }
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
        resubmitted: head.again,
        orphan: head.orphan,
        body,
        reply,
    };
    let mut guard = DisconnectGuard {
        id: submission.id.clone(),
        result: Some(result),
        inputs: &server.inputs,
    };
    if server
        .inputs
        .send(DriverInput::Submitted(submission))
        .is_err()
    {
        return Err(RequestError::ShuttingDown);
    }
    Ok(submission_response(guard.result().await))
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

/// Reads a message's body into memory of its own.
async fn read_body(request: Request<Incoming>) -> Result<Bytes, RequestError> {
    // hyper drops the length beside a Transfer-Encoding, so two ends of the body can't be told from one
    let no_length = request.headers().contains_key(TRANSFER_ENCODING);
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let body = match timeout(BODY_TIME, body).await {
        Err(_) => return Err(RequestError::BodyTimeout),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(RequestError::BodyTooLong),
        Ok(Err(_)) => return Err(RequestError::MalformedBody),
        Ok(Ok(body)) => Bytes::copy_from_slice(&body.to_bytes()),
    };
    if no_length {
        return Err(RequestError::LengthRequired);
    }
    Ok(body)
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

/// Notifies the driver of a client that disconnects before its answer, since it submits its message again elsewhere:
/// hyper drops the request then.
struct DisconnectGuard<'a> {
    id: HeaderValue,
    /// The driver's answer, as long as it has not been taken for the client.
    result: Option<oneshot::Receiver<SubmissionResult>>,
    inputs: &'a mpsc::UnboundedSender<DriverInput>,
}

impl DisconnectGuard<'_> {
    /// The driver's answer, which goes to the client from then on.
    async fn result(&mut self) -> SubmissionResult {
        let Some(result) = &mut self.result else {
            return SubmissionResult::NotStored;
        };
        let result = result.await;
        self.result = None;
        result.unwrap_or(SubmissionResult::NotStored)
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let Some(mut result) = self.result.take() else {
            return;
        };
        // a message that was refused is none that this client could withdraw: its id may name another's by now
        let is_refused = |result: SubmissionResult| result != SubmissionResult::Accepted;
        if result.try_recv().is_ok_and(is_refused) {
            return;
        }
        let client = DepartedClient {
            id: self.id.clone(),
        };
        // nobody listens any more only when the process ends
        let _ = self.inputs.send(DriverInput::ClientDisconnected(client));
    }
}

#[cfg(test)]
mod compatibility;
