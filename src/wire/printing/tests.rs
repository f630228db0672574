use super::*;
use crate::decisions::Sender;
use crate::interface::Settings;
use crate::wire::settings::Names;

fn ejected(reason: EjectionReason) -> RouteEvent {
    RouteEvent::Ejected {
        destination: 5,
        reason,
    }
}

#[test]
fn every_action_is_printed_as_recorded_line() {
    let sender = Sender::new(Settings::new(1, 1), 1).expect("the settings are valid");
    let mut instance = Instance::new(sender, Names::default());
    let message = MessageId(instance.messages.number("m7"));
    let endpoint = EndpointId(instance.endpoints.number("e9") as u32);
    let written = [
        (
            Action::Send {
                message,
                attempt: 3,
                endpoint,
                expires: 12_000_034,
                start_by: Some(5),
            },
            "issue sender/2 m7 12.000034 e9\n",
        ),
        (
            Action::Cancel {
                message,
                attempt: 3,
            },
            "withdraw sender/2 m7 3\n",
        ),
        (
            Action::Reject {
                message,
                retry_after: None,
            },
            "shed sender/2 m7 -\n",
        ),
        (
            Action::Reject {
                message,
                retry_after: Some(1_500_000),
            },
            "shed sender/2 m7 1.500000\n",
        ),
        (Action::Fail(message), "report_failure sender/2 m7\n"),
        (
            Action::SetTimer(90_250_001),
            "set_alarm sender/2 90.250001 wake\n",
        ),
        (Action::HealthCheck(endpoint), "health_check sender/2 e9\n"),
        (Action::Disconnect(endpoint), "disconnect sender/2 e9\n"),
        (Action::Subscribe, "listen sender/2 1\n"),
        (
            Action::SendNote(vec![0, 255, 7, 1]),
            "publish sender/2 -1 AP8HAQ==\n",
        ),
        (Action::SendNote(Vec::new()), "publish sender/2 -1 -\n"),
        (
            Action::Log(ejected(EjectionReason::FleetHealth)),
            "record sender/2 destination 5 sick: told\n",
        ),
        (
            Action::Log(ejected(EjectionReason::Closed)),
            "record sender/2 destination 5 sick: shut\n",
        ),
        (
            Action::Log(ejected(EjectionReason::Failures)),
            "record sender/2 destination 5 sick: fails\n",
        ),
        (
            Action::Log(ejected(EjectionReason::Unresponsive)),
            "record sender/2 destination 5 sick: silent\n",
        ),
        (
            Action::Log(RouteEvent::Recovering { destination: 5 }),
            "record sender/2 destination 5 returns\n",
        ),
    ];
    for (action, line) in written {
        let mut reply = String::new();
        print(&mut reply, "sender/2", &action, &instance);
        assert_eq!(reply, line, "{action:?}");
    }
}
