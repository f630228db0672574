//! The operators' address: one call a connection, answered beside whatever else goes on.

use super::connection::{self, Slot};
use super::events::ReportRequest;
use super::events::{AdminCommand, AdminResult};
use super::server::accept;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::ALLOW;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use std::borrow::Cow;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;

/// Callers at once. Beyond them, those that have sent no whole call yet leave first.
const CALLERS: usize = 32;
/// Longest time for a call's head, for its body, and for the end of its answer.
const HEAD_TIME: Duration = Duration::from_millis(2000);
const BODY_TIME: Duration = Duration::from_millis(1000);
const ALL_TIME: Duration = Duration::from_secs(5);
/// Longest body: an id and its name.
const MAX_BODY_BYTES: usize = 4096;

/// What the calls need.
pub struct Control {
    pub orders: mpsc::Sender<AdminCommand>,
    pub members: mpsc::Sender<ReportRequest>,
    pub agreement: mpsc::Sender<ReportRequest>,
    pub ledger: mpsc::Sender<ReportRequest>,
    pub ready: watch::Receiver<bool>,
    /// Set once the process takes nothing new.
    pub draining: Rc<Cell<bool>>,
}

/// The body of an order.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Target {
    target: String,
}

/// A no, and why.
type No = (StatusCode, &'static str);

/// Answers operators for ever.
pub async fn serve(listener: TcpListener, control: Rc<Control>) {
    let places = Arc::new(Semaphore::new(CALLERS));
    let (_lasts, end) = watch::channel(false);
    accept("control", listener, places, end, move |stream, slot| {
        let control = control.clone();
        async move { serve_one(stream, control, &slot).await }
    })
    .await;
}

async fn serve_one(stream: TcpStream, control: Rc<Control>, slot: &Rc<Slot>) {
    let service = service_fn(move |request| {
        let control = control.clone();
        async move { Ok::<_, Infallible>(answer(request, &control, slot).await) }
    });
    let mut http = http1::Builder::new();
    http.keep_alive(false).max_buf_size(16 * 1024);
    let served = connection::serve(
        stream,
        slot,
        http,
        HEAD_TIME,
        service,
        std::future::pending::<()>(),
    );
    // how a caller leaves is its own affair
    let _ = timeout(ALL_TIME, served).await;
}

async fn answer(
    request: Request<Incoming>,
    control: &Control,
    slot: &Rc<Slot>,
) -> Response<Full<Bytes>> {
    let (status, what) = match handle(request, control, slot).await {
        Ok(what) => (StatusCode::OK, what),
        Err((status, why)) => (status, why.into()),
    };
    let mut response = Response::new(Full::from(format!("{what}\n")));
    *response.status_mut() = status;
    if status == StatusCode::METHOD_NOT_ALLOWED {
        let allowed = if what == ONLY_GET { "GET" } else { "POST" };
        response
            .headers_mut()
            .insert(ALLOW, hyper::header::HeaderValue::from_static(allowed));
    }
    response
}

const ONLY_GET: &str = "only GET";

async fn handle(
    request: Request<Incoming>,
    control: &Control,
    slot: &Slot,
) -> Result<Cow<'static, str>, No> {
    let out = match (request.uri().path(), request.method()) {
        ("/ready", &Method::GET) => {
            return if *control.ready.borrow() && !control.draining.get() {
                Ok("ready".into())
            } else {
                Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"))
            };
        }
        ("/pools", &Method::GET) => {
            slot.set_idle(false);
            let ending = (StatusCode::SERVICE_UNAVAILABLE, "ending");
            return report(
                &control.orders,
                |reply| AdminCommand::PoolReport { reply },
                ending,
            )
            .await;
        }
        ("/freeze", &Method::GET) => {
            slot.set_idle(false);
            let off = (StatusCode::NOT_FOUND, "the freeze is off");
            return report(
                &control.orders,
                |reply| AdminCommand::FreezeReport { reply },
                off,
            )
            .await;
        }
        ("/members", &Method::GET) => {
            slot.set_idle(false);
            return report(
                &control.members,
                |reply| reply,
                (StatusCode::NOT_FOUND, "membership is off"),
            )
            .await;
        }
        ("/agreement", &Method::GET) => {
            slot.set_idle(false);
            return report(
                &control.agreement,
                |reply| reply,
                (StatusCode::NOT_FOUND, "agreement is off"),
            )
            .await;
        }
        ("/ledger", &Method::GET) => {
            slot.set_idle(false);
            return report(
                &control.ledger,
                |reply| reply,
                (StatusCode::NOT_FOUND, "the ledger is off"),
            )
            .await;
        }
        ("/ready" | "/pools" | "/members" | "/agreement" | "/ledger" | "/freeze", _) => {
            return Err((StatusCode::METHOD_NOT_ALLOWED, ONLY_GET));
        }
        ("/endpoints/disable", &Method::POST) => true,
        ("/endpoints/enable", &Method::POST) => false,
        ("/endpoints/disable" | "/endpoints/enable", _) => {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "only POST"));
        }
        _ => return Err((StatusCode::NOT_FOUND, "no such path")),
    };
    let body = timeout(
        BODY_TIME,
        Limited::new(request.into_body(), MAX_BODY_BYTES).collect(),
    )
    .await;
    let body = body
        .map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"))?
        .map_err(|_| (StatusCode::BAD_REQUEST, "the body is malformed or too long"))?;
    let Target { target: uid } = serde_json::from_slice(&body.to_bytes()).map_err(|_| {
        (
            StatusCode::BAD_REQUEST,
            "the body is not {\"target\":\"ID\"}",
        )
    })?;
    slot.set_idle(false);
    let (reply, verdict) = oneshot::channel();
    ask(
        &control.orders,
        AdminCommand::SetDisabled {
            uid,
            disabled: out,
            reply,
        },
    )?;
    match verdict.await {
        Ok(AdminResult::Done) => Ok("done".into()),
        Ok(AdminResult::UnknownEndpoint) => Err((StatusCode::NOT_FOUND, "no such endpoint")),
        Ok(AdminResult::NotWritten) => Err((
            StatusCode::INSUFFICIENT_STORAGE,
            "it could not be written down",
        )),
        Err(_) => Err((StatusCode::SERVICE_UNAVAILABLE, "ending")),
    }
}

/// Hands an order to a part, if it has room for one.
fn ask<T>(part: &mpsc::Sender<T>, order: T) -> Result<(), No> {
    let busy = (StatusCode::SERVICE_UNAVAILABLE, "no order is taken now");
    part.try_send(order).map_err(|_| busy)
}

/// A part's report; `none` is the answer where the part drops the question.
async fn report<T>(
    part: &mpsc::Sender<T>,
    order: impl FnOnce(ReportRequest) -> T,
    none: No,
) -> Result<Cow<'static, str>, No> {
    let (reply, report) = oneshot::channel();
    ask(part, order(reply))?;
    report.await.map(Cow::from).map_err(|_| none)
}

#[cfg(test)]
mod compatibility;
