//! Prints the actions of an instance as lines.

use super::base64::encode;
use super::instance::Instance;
use crate::interface::{Action, EjectionReason, EndpointId, MessageId, Micros, RouteEvent, SECOND};
use std::fmt::{self, Write as _};

/// Time in microseconds, printed in seconds with six decimal places.
struct Seconds(Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / SECOND, self.0 % SECOND)
    }
}

/// Log event in the wording of the simulator's lines, which differs from the sender's log.
struct LogText<'a>(&'a RouteEvent);

impl fmt::Display for LogText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            RouteEvent::Ejected {
                destination,
                reason,
            } => {
                let word = match reason {
                    EjectionReason::Closed => "shut",
                    EjectionReason::Failures => "fails",
                    EjectionReason::Unresponsive => "silent",
                    EjectionReason::FleetHealth => "told",
                };
                write!(f, "destination {destination} sick: {word}")
            }
            RouteEvent::Recovering { destination } => {
                write!(f, "destination {destination} returns")
            }
        }
    }
}

/// Appends the line of one action of the instance `id` to `reply`.
pub(super) fn print(reply: &mut String, id: &str, action: &Action, instance: &Instance) {
    let message = |m: &MessageId| instance.messages.name(m.0);
    let endpoint = |e: &EndpointId| instance.endpoints.name(u64::from(e.0));
    let written = match action {
        Action::Send {
            message: m,
            endpoint: e,
            expires,
            ..
        } => {
            writeln!(
                reply,
                "issue {id} {} {} {}",
                message(m),
                Seconds(*expires),
                endpoint(e)
            )
        }
        Action::Cancel {
            message: m,
            attempt,
        } => writeln!(reply, "withdraw {id} {} {attempt}", message(m)),
        Action::Reject {
            message: m,
            retry_after,
        } => match retry_after {
            Some(delay) => writeln!(reply, "shed {id} {} {}", message(m), Seconds(*delay)),
            None => writeln!(reply, "shed {id} {} -", message(m)),
        },
        Action::Fail(m) => writeln!(reply, "report_failure {id} {}", message(m)),
        Action::SetTimer(at) => writeln!(reply, "set_alarm {id} {} wake", Seconds(*at)),
        Action::HealthCheck(e) => writeln!(reply, "health_check {id} {}", endpoint(e)),
        Action::Disconnect(e) => writeln!(reply, "disconnect {id} {}", endpoint(e)),
        Action::Subscribe => writeln!(reply, "listen {id} 1"),
        Action::SendNote(bytes) => writeln!(reply, "publish {id} -1 {}", encode(bytes)),
        Action::Log(event) => writeln!(reply, "record {id} {}", LogText(event)),
    };
    written.expect("writing to a string does not fail");
}

#[cfg(test)]
mod tests;
