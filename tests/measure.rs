//! Measurements of the real program, which take long and print figures: `cargo test --release --test measure --
//! --ignored --nocapture --test-threads 1`. `MILLETTURN_BESIDE` names another build to measure beside this one.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The median of some figures, with the least and the most.
fn spread(figures: &mut [f64]) -> String {
    figures.sort_by(f64::total_cmp);
    let middle = figures[figures.len() / 2];
    format!(
        "{middle:.0} ({:.0} to {:.0})",
        figures[0],
        figures[figures.len() - 1]
    )
}

/// An endpoint that takes some milliseconds for each call.
fn working(time: u64) -> Endpoint {
    Endpoint::new(move |_, _| {
        sleep(millis(time));
        OK
    })
}

/// Submits messages as the shape of the load has it, and counts the dials for each thousand.
fn dials_of(program: &std::path::Path, shape: &str) -> f64 {
    let endpoints: Vec<Endpoint> = (0..4).map(|_| working(10)).collect();
    let uids: Vec<String> = (0..4).map(|n| format!("s-{n}")).collect();
    // two destinations of two endpoints each
    let entries: Vec<_> = (0..4)
        .map(|n| {
            (
                uids[n].as_str(),
                endpoints[n].address,
                "one",
                n as u64 / 2,
                "up",
            )
        })
        .collect();
    let agent = Agent::new(vec![list(&entries)]);
    let idle_s = if shape == "trickling" { 1.0 } else { 5.0 };
    let node = Node::of_program(program, &agent, idle_s).ready();
    let mut client = Client::new(&node);
    let mut handed = 0;
    let mut hand_in = |count: usize| {
        for _ in 0..count {
            let text = message(
                "webhook",
                &format!("m{handed}"),
                handed as u64 % 2,
                20_000,
                b"x",
            );
            assert_eq!(client.send(&text).expect("answered").0, 202);
            handed += 1;
        }
    };
    match shape {
        "steady" => (0..1000).for_each(|_| {
            hand_in(1);
            sleep(millis(8));
        }),
        "bursty" => (0..20).for_each(|_| {
            hand_in(50);
            sleep(millis(1000));
        }),
        _ => (0..40).for_each(|n| {
            hand_in(1);
            sleep(millis(100 + n * 7 % 5 * 200));
        }),
    }
    let delivered = || endpoints.iter().map(Endpoint::count).sum::<usize>();
    wait_until("all are delivered", || delivered() >= handed);
    let dials: usize = endpoints
        .iter()
        .map(|endpoint| endpoint.connections.load(Ordering::SeqCst))
        .sum();
    dials as f64 * 1000.0 / handed as f64
}

#[test]
#[ignore = "minutes"]
fn dials_for_each_thousand_messages() {
    let here = PathBuf::from(env!("CARGO_BIN_EXE_message-sender"));
    let beside = std::env::var("MILLETTURN_BESIDE").map(PathBuf::from).ok();
    for (shape, runs) in [("steady", 5), ("bursty", 3), ("trickling", 5)] {
        let (mut ours, mut theirs) = (Vec::new(), Vec::new());
        for _ in 0..runs {
            ours.push(dials_of(&here, shape));
            theirs.extend(beside.as_deref().map(|program| dials_of(program, shape)));
        }
        println!("{shape}: {} dials for 1000 messages", spread(&mut ours));
        if !theirs.is_empty() {
            println!("{shape}: {} of the one beside", spread(&mut theirs));
        }
        // one for each message would be no pool at all
        assert!(
            shape == "trickling" || ours.iter().all(|&dials| dials < 300.0),
            "{shape}: {ours:?}"
        );
    }
}

/// An endpoint that holds so many connections and refuses further ones, as one with a limit of its own does.
#[derive(Clone)]
struct Capped {
    address: SocketAddr,
    cap: Arc<AtomicUsize>,
    open: Arc<Mutex<usize>>,
    served: Arc<AtomicUsize>,
}

impl Capped {
    fn new(cap: usize, time: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let cap = Arc::new(AtomicUsize::new(cap));
        let capped = Capped {
            address,
            cap,
            open: Arc::default(),
            served: Arc::default(),
        };
        let here = capped.clone();
        std::thread::spawn(move || here.accept(listener, time));
        capped
    }

    fn open(&self) -> usize {
        *self.open.lock().expect("not poisoned")
    }

    /// Listens only while there is room.
    fn accept(&self, listener: TcpListener, time: u64) {
        let mut listener = Some(listener);
        loop {
            let room = self.open() < self.cap.load(Ordering::SeqCst);
            if !room {
                listener = None;
                sleep(millis(1));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some((stream, _)) = listener
                .as_ref()
                .and_then(|listener| listener.accept().ok())
            else {
                sleep(millis(1));
                continue;
            };
            *self.open.lock().expect("not poisoned") += 1;
            let here = self.clone();
            std::thread::spawn(move || {
                here.serve(stream, time);
                *here.open.lock().expect("not poisoned") -= 1;
            });
        }
    }

    fn serve(&self, mut stream: TcpStream, time: u64) {
        let (mut text, mut part) = (Vec::new(), [0; 4096]);
        while let Ok(count @ 1..) = stream.read(&mut part) {
            text.extend_from_slice(&part[..count]);
            // bodies here are one byte
            if text.len() > 5 && text[..text.len() - 1].ends_with(b"\r\n\r\n") {
                text.clear();
                sleep(millis(time));
                self.served.fetch_add(1, Ordering::SeqCst);
                if stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .is_err()
                {
                    return;
                }
            }
        }
    }
}

#[test]
#[ignore = "a minute"]
fn connects_that_a_capped_endpoint_refuses() {
    const CAP: usize = 4;
    for learn in [true, false, true, false] {
        let endpoint = Capped::new(CAP, 100);
        let agent = Agent::new(vec![list(&[("s-1", endpoint.address, "one", 7, "up")])]);
        let node = Node::configured(
            &agent,
            60.0,
            32,
            &format!(r#""pool":{{"learn_caps":{learn}}},"#),
        )
        .ready();
        let mut client = Client::new(&node);
        let refused = |node: &Node| {
            let failures = &pools(node)["totals"]["counts"]["dial_failures"];
            failures["refused"].as_u64().unwrap_or(0)
        };
        let mut handed = 0;
        let mut load = |span: Duration, mut ends: Box<dyn FnMut() -> bool>| {
            let began = Instant::now();
            while began.elapsed() < span && !ends() {
                // as many as four times the cap can do
                for _ in 0..4 {
                    let text = message("webhook", &format!("m{handed}"), 7, 20_000, b"x");
                    assert!(
                        client
                            .send(&text)
                            .is_some_and(|(status, _)| [202, 429, 503].contains(&status))
                    );
                    handed += 1;
                }
                sleep(millis(25));
            }
            began.elapsed()
        };
        load(Duration::from_secs(5), Box::new(|| false));
        let (first, served) = (refused(&node), endpoint.served.load(Ordering::SeqCst));
        load(Duration::from_secs(5), Box::new(|| false));
        let (second, both) = (
            refused(&node) - first,
            endpoint.served.load(Ordering::SeqCst),
        );
        endpoint.cap.store(4 * CAP, Ordering::SeqCst);
        let here = endpoint.clone();
        let time = load(
            Duration::from_secs(40),
            Box::new(move || here.open() >= 4 * CAP - 2),
        );
        println!(
            "learning {learn}: {first} connects refused in the first 5 s and {second} in the next, {served} and \
             {} served; {} connections {:.1} s after the cap rose to four times: {}",
            both - served,
            endpoint.open(),
            time.as_secs_f64(),
            pools(&node)["endpoints"][0],
        );
    }
}

#[test]
#[ignore = "a minute"]
fn memory_and_descriptors_stay_flat_over_ten_thousand_endpoints() {
    const BATCH: usize = 100;
    let endpoint = Endpoint::new(|_, _| OK);
    let agent = Agent::new(vec![list(&[("s-first", endpoint.address, "one", 1, "up")])]);
    let node = Node::with(agent.address, 3.0, 60.0).ready();
    let mut figures = Vec::new();
    for round in 0..100_usize {
        let uids: Vec<String> = (0..BATCH)
            .map(|n| format!("s-{}", round * BATCH + n))
            .collect();
        let version = 8 + 2 * round as u64;
        let entries = |state| -> Vec<_> {
            uids.iter()
                .map(|uid| (uid.as_str(), endpoint.address, "one", 2, state))
                .collect()
        };
        agent.announce(changes(version, &entries("up")));
        wait_until("they are known", || {
            pools(&node)["totals"]["endpoints"] == BATCH as u64 + 1
        });
        for n in 0..10 {
            deliver(&node, &format!("m{round}-{n}"), 2);
        }
        agent.announce(changes(version + 1, &entries("removed")));
        wait_until("they are gone", || pools(&node)["totals"]["endpoints"] == 1);
        sleep(millis(300));
        if round % 10 == 9 {
            figures.push((node.memory() / 1024, node.descriptors()));
        }
    }
    println!("kB of memory and descriptors after each thousand endpoints: {figures:?}");
    // what is remembered for a time, ids and endpoints lately gone, has reached its size by then
    let (then, last) = (figures[6], figures[9]);
    assert!(
        last.0 < then.0 + then.0 / 20,
        "{then:?} after seven thousand, {last:?} at the end"
    );
    assert!(
        last.1 <= then.1 + 2,
        "{then:?} after seven thousand, {last:?} at the end"
    );
}
