use super::*;
use crate::net::stub_registry::{assert_golden, folder, golden, standing_clock, within};
use fleet_membership::{Output, PersistedState, State};
use message_sender::FleetView;
use serde_json::json;
use std::net::Ipv4Addr;
use tokio::sync::oneshot;

/// What a member of these settings tells the decisions, and its report.
struct TestMember {
    inputs: mpsc::UnboundedReceiver<DriverInput>,
    queries: mpsc::Sender<ReportRequest>,
    _settings: watch::Sender<Option<MembershipSettings>>,
    _stop: watch::Sender<bool>,
}

fn settings(name: &str, listen: SocketAddr) -> MembershipSettings {
    let object = json!({ "listen": listen, "fleet": "test" });
    settings::read(&object, name, 3)
        .expect("good")
        .expect("there")
}

/// An address that is free now.
async fn free() -> SocketAddr {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    socket.local_addr().expect("bound")
}

impl TestMember {
    fn start(test: &str, settings: MembershipSettings) -> Self {
        let state = folder(test);
        std::fs::write(state.join(remembered::FILE), golden("membership/members"))
            .expect("written");
        let (inputs, received) = mpsc::unbounded_channel();
        let (queries, asked) = mpsc::channel(1);
        let (settings, wanted) = watch::channel(Some(settings));
        let (stop, stopping) = watch::channel(false);
        let clock = standing_clock(&format!("{test}-clock"));
        let dependencies = Dependencies {
            clock,
            seed: 5,
            state_folder: state,
            driver: inputs,
            fleet_size: Rc::new(Cell::new(3)),
        };
        let channels = Channels {
            settings: wanted,
            reports: asked,
            shutdown: stopping,
        };
        tokio::task::spawn_local(run(dependencies, channels));
        TestMember {
            inputs: received,
            queries,
            _settings: settings,
            _stop: stop,
        }
    }

    async fn report(&self) -> String {
        let (reply, report) = oneshot::channel();
        self.queries.send(reply).await.expect("it runs");
        within(report).await.expect("a report")
    }
}

#[tokio::test]
async fn report_keeps_its_bytes_alone_and_with_a_member() {
    let test = async {
        let listen = free().await;
        let mut member = TestMember::start("members", settings("a", listen));
        assert_golden(
            "membership/report-alone.json",
            member.report().await.as_bytes(),
        );
        // another member finds it, and something that is no datagram of the fleet comes beside
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a port");
        let address = socket.local_addr().expect("bound");
        let mut other = settings("b", address).protocol;
        other.seeds = vec![listen];
        let mut node = Node::new(other, PersistedState::default(), 7, 0, 0).expect("good settings");
        let mut output = Output::default();
        node.tick(node.next_deadline(), &mut output);
        assert!(!output.datagrams.is_empty());
        for datagram in output.datagrams {
            assert_eq!(datagram.destination, listen);
            socket
                .send_to(&datagram.payload, listen)
                .await
                .expect("sent");
        }
        socket.send_to(b"junk", listen).await.expect("sent");
        let report = loop {
            let report = member.report().await;
            if report.contains("unreadable") {
                break report;
            }
            tokio::task::yield_now().await;
        };
        let report = report.replace(&address.port().to_string(), "PORT");
        assert_golden("membership/report.json", report.as_bytes());
        let input = within(member.inputs.recv()).await;
        let Some(DriverInput::FleetView(Some(view))) = input else {
            panic!("{input:?}")
        };
        let FleetView {
            present,
            suspects,
            departed,
            agreeing,
            isolated,
        } = view;
        assert_eq!(
            (present, suspects, departed, agreeing, isolated),
            (2, 0, 0, 1, false)
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn remembered_members_are_read_and_written_byte_for_byte() {
    let folder = folder("remembered");
    std::fs::write(folder.join(remembered::FILE), golden("membership/members")).expect("written");
    let remembered = remembered::load(&folder).await;
    assert_eq!(remembered.incarnation, 3);
    let contacts =
        ["10.0.0.5:7946", "[fd00::6]:7946"].map(|text| text.parse().expect("an address"));
    assert_eq!(remembered.known_addresses, contacts);
    let again = folder.join("again");
    std::fs::create_dir(&again).expect("a folder");
    remembered::store(&again, &remembered).expect("written");
    assert_golden(
        "membership/members",
        &std::fs::read(again.join(remembered::FILE)).expect("written"),
    );
}

#[test]
fn member_states_keep_their_names() {
    let words =
        [State::Alive, State::Suspect, State::Dead, State::Left].map(change_log::state_name);
    assert_eq!(words, ["alive", "suspect", "dead", "left"]);
}
