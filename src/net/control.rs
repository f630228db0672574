//! The HTTP API for operators on the control address. Each connection carries one request.

use super::body;
use super::connection::{self, ConnectionState, HttpSettings};
use super::events::{AdminCommand, AdminResult, ReportRequest};
use super::server::{OpenConnections, accept};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;

/// Maximum number of open connections. At the limit, a connection that has sent no complete request is closed in favour
/// of a new one.
const MAX_CONNECTIONS: usize = 32;
/// Maximum time to receive the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time from accepting a connection to the end of its response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections that hold a report, which may be long.
const MAX_REPORTS: usize = 2;
/// Maximum time for which a request for a report waits until fewer connections hold one. Operators are owed an answer
/// within a second.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Maximum size of a request body in bytes. The body holds only the uid of one endpoint.
const MAX_BODY_BYTES: usize = 4096;
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Channels and flags by which the API reaches the other tasks of the process.
pub struct Control {
    /// Channel for commands to the driver.
    pub commands: mpsc::Sender<AdminCommand>,
    /// Channel for requests of the membership task's report.
    pub members: mpsc::Sender<ReportRequest>,
    /// Channel for requests of the report of the task that follows the agreed rules.
    pub agreement: mpsc::Sender<ReportRequest>,
    /// Channel for requests of the report of the task that holds the quota lease.
    pub ledger: mpsc::Sender<ReportRequest>,
    /// True once the process can accept messages.
    pub ready: watch::Receiver<bool>,
    /// True while the process accepts no new messages, for example after SIGTERM.
    pub draining: Rc<Cell<bool>>,
}

/// JSON body of a request that disables or enables an endpoint.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointBody {
    target: String,
}

/// An operation of the API, as given by the request's path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Readiness,
    Report(ReportSubject),
    /// Disables (true) or enables (false) the endpoint that the body names.
    SetDisabled(bool),
}

/// Subsystem that a report describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportSubject {
    Pools,
    Freeze,
    Members,
    Agreement,
    Ledger,
}

impl Operation {
    fn of(method: &Method, path: &str) -> Result<Self, ControlError> {
        let operation = match path {
            "/ready" => Operation::Readiness,
            "/pools" => Operation::Report(ReportSubject::Pools),
            "/freeze" => Operation::Report(ReportSubject::Freeze),
            "/members" => Operation::Report(ReportSubject::Members),
            "/agreement" => Operation::Report(ReportSubject::Agreement),
            "/ledger" => Operation::Report(ReportSubject::Ledger),
            "/endpoints/disable" => Operation::SetDisabled(true),
            "/endpoints/enable" => Operation::SetDisabled(false),
            _ => return Err(ControlError::UnknownPath),
        };
        match operation {
            Operation::SetDisabled(_) if method != Method::POST => Err(ControlError::OnlyPost),
            Operation::Readiness | Operation::Report(_) if method != Method::GET => {
                Err(ControlError::OnlyGet)
            }
            _ => Ok(operation),
        }
    }
}

/// Error of a request. Its text is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum ControlError {
    #[error("not ready")]
    NotReady,
    #[error("ending")]
    ShuttingDown,
    #[error("no order is taken now")]
    Busy,
    #[error("the freeze is off")]
    FreezeOff,
    #[error("membership is off")]
    MembershipOff,
    #[error("agreement is off")]
    AgreementOff,
    #[error("the ledger is off")]
    LedgerOff,
    #[error("no such endpoint")]
    UnknownEndpoint,
    #[error("no such path")]
    UnknownPath,
    #[error("only GET")]
    OnlyGet,
    #[error("only POST")]
    OnlyPost,
    #[error("the body did not come in time")]
    BodyTimeout,
    #[error("the body is malformed or too long")]
    MalformedBody,
    #[error("the body is not {{\"target\":\"ID\"}}")]
    InvalidBody,
    #[error("it could not be written down")]
    NotWritten,
}

impl ControlError {
    fn status(self) -> StatusCode {
        match self {
            ControlError::NotReady | ControlError::ShuttingDown | ControlError::Busy => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            ControlError::FreezeOff
            | ControlError::MembershipOff
            | ControlError::AgreementOff
            | ControlError::LedgerOff
            | ControlError::UnknownEndpoint
            | ControlError::UnknownPath => StatusCode::NOT_FOUND,
            ControlError::OnlyGet | ControlError::OnlyPost => StatusCode::METHOD_NOT_ALLOWED,
            ControlError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            ControlError::MalformedBody | ControlError::InvalidBody => StatusCode::BAD_REQUEST,
            ControlError::NotWritten => StatusCode::INSUFFICIENT_STORAGE,
        }
    }

    /// Returns the method for the response's `Allow` header if the request used a method that the path does not allow.
    fn allowed_method(self) -> Option<&'static str> {
        match self {
            ControlError::OnlyGet => Some("GET"),
            ControlError::OnlyPost => Some("POST"),
            _ => None,
        }
    }
}

/// Serves the API on the listener. Never returns.
pub async fn serve(listener: TcpListener, control: Rc<Control>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let (_close_sender, close) = watch::channel(false);
    let reports = Arc::new(Semaphore::new(MAX_REPORTS));
    let connections = Rc::new(OpenConnections::default());
    accept(
        "control",
        listener,
        permits,
        connections,
        close,
        move |stream, state| {
            let (control, reports) = (control.clone(), reports.clone());
            async move { serve_connection(stream, control, reports, &state).await }
        },
    )
    .await;
}

async fn serve_connection(
    stream: TcpStream,
    control: Rc<Control>,
    reports: Arc<Semaphore>,
    state: &Rc<ConnectionState>,
) {
    let operator = Rc::new(Operator {
        control,
        state: state.clone(),
        reports,
        held_report: RefCell::default(),
    });
    let service = service_fn(move |request| {
        let operator = operator.clone();
        async move { Ok::<_, Infallible>(operator.answer(request).await) }
    });
    let mut http = http1::Builder::new();
    http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    let served = connection::serve(
        stream,
        state,
        HttpSettings {
            http,
            idle_timeout: HEAD_TIMEOUT,
            // the system lets its buffer grow to the size of a report, which then reaches a slow operator after the close
            send_buffer_bytes: None,
            free_bytes: None,
        },
        |_| service,
        std::future::pending::<()>(),
    );
    // an error of the connection needs no handling: the operator has disconnected or was too slow
    let _ = timeout(CONNECTION_TIMEOUT, served).await;
}

/// Connection of an operator, which carries one request.
struct Operator {
    control: Rc<Control>,
    state: Rc<ConnectionState>,
    reports: Arc<Semaphore>,
    /// Permit for a report, held until the connection ends.
    held_report: RefCell<Option<OwnedSemaphorePermit>>,
}

impl Operator {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let handled = self.handle(request).await;
        // from here on the connection may be closed in favour of a new one if its peer does not read the response
        self.state.set_idle(true);
        match handled {
            Ok(text) => Response::new(text_body(text)),
            Err(error) => error_response(&error),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<String, ControlError> {
        let control = &self.control;
        match Operation::of(request.method(), request.uri().path())? {
            Operation::Readiness if *control.ready.borrow() && !control.draining.get() => {
                Ok("ready".to_string())
            }
            Operation::Readiness => Err(ControlError::NotReady),
            Operation::Report(subject) => {
                self.state.set_idle(false);
                self.hold_report().await?;
                control.report(subject).await
            }
            Operation::SetDisabled(disabled) => {
                let uid = read_target(request).await?;
                self.state.set_idle(false);
                control.set_disabled(uid, disabled).await
            }
        }
    }

    /// Waits until the connection may hold a report.
    async fn hold_report(&self) -> Result<(), ControlError> {
        let permit = timeout(REPORT_WAIT, self.reports.clone().acquire_owned()).await;
        let permit = permit.ok().and_then(Result::ok).ok_or(ControlError::Busy)?;
        self.held_report.replace(Some(permit));
        Ok(())
    }
}

fn text_body(mut text: String) -> Full<Bytes> {
    text.push('\n');
    Full::from(text)
}

fn error_response(error: &ControlError) -> Response<Full<Bytes>> {
    let mut response = Response::new(text_body(error.to_string()));
    *response.status_mut() = error.status();
    if let Some(method) = error.allowed_method() {
        let method = HeaderValue::from_static(method);
        response.headers_mut().insert(ALLOW, method);
    }
    response
}

/// Reads the uid of the endpoint from the request's body.
async fn read_target(request: Request<Incoming>) -> Result<String, ControlError> {
    let mut text = Vec::new();
    let received = body::receive(request.into_body(), MAX_BODY_BYTES, |piece| {
        text.extend_from_slice(piece);
    });
    timeout(BODY_TIMEOUT, received)
        .await
        .map_err(|_| ControlError::BodyTimeout)?
        .map_err(|_| ControlError::MalformedBody)?;
    let body: EndpointBody =
        serde_json::from_slice(&text).map_err(|_| ControlError::InvalidBody)?;
    Ok(body.target)
}

impl Control {
    async fn report(&self, subject: ReportSubject) -> Result<String, ControlError> {
        let (reply, report) = oneshot::channel();
        match subject {
            ReportSubject::Pools => enqueue(&self.commands, AdminCommand::PoolReport { reply })?,
            ReportSubject::Freeze => {
                enqueue(&self.commands, AdminCommand::FreezeReport { reply })?;
            }
            ReportSubject::Members => enqueue(&self.members, reply)?,
            ReportSubject::Agreement => enqueue(&self.agreement, reply)?,
            ReportSubject::Ledger => enqueue(&self.ledger, reply)?,
        }
        report.await.map_err(|_| match subject {
            ReportSubject::Pools => ControlError::ShuttingDown,
            ReportSubject::Freeze => ControlError::FreezeOff,
            ReportSubject::Members => ControlError::MembershipOff,
            ReportSubject::Agreement => ControlError::AgreementOff,
            ReportSubject::Ledger => ControlError::LedgerOff,
        })
    }

    async fn set_disabled(&self, uid: String, disabled: bool) -> Result<String, ControlError> {
        let (reply, result) = oneshot::channel();
        let command = AdminCommand::SetDisabled {
            uid,
            disabled,
            reply,
        };
        enqueue(&self.commands, command)?;
        match result.await {
            Ok(AdminResult::Done) => Ok("done".to_string()),
            Ok(AdminResult::UnknownEndpoint) => Err(ControlError::UnknownEndpoint),
            Ok(AdminResult::NotWritten) => Err(ControlError::NotWritten),
            Err(_) => Err(ControlError::ShuttingDown),
        }
    }
}

/// Sends a command to another task. Returns [`ControlError::Busy`] if the task's queue is full or closed.
fn enqueue<T>(queue: &mpsc::Sender<T>, command: T) -> Result<(), ControlError> {
    queue.try_send(command).map_err(|_| ControlError::Busy)
}

#[cfg(test)]
mod compatibility;
