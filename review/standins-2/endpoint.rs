//! An endpoint of a destination. It answers 200 after its latency, unless told otherwise.

use crate::http;
use crate::world::{World, ms};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

unsafe extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
}

/// One call that an endpoint has read to its last byte.
#[derive(Clone)]
pub struct Call {
    pub id: String,
    /// When its first byte came.
    pub began: Instant,
    /// When its last byte came.
    pub came: Instant,
    /// When its connection came up, as the endpoint accepted it.
    pub accepted: Instant,
    /// When the endpoint answered it, or its connection ended.
    pub ended: Option<Instant>,
    /// The status that it got.
    pub status: &'static str,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Serve,
    /// Takes calls and answers none.
    Hang,
}

pub struct Endpoint {
    pub uid: String,
    pub destination: u64,
    pub zone: String,
    pub kind: String,
    pub address: SocketAddr,
    pub state: Mutex<&'static str>,
    pub mode: Mutex<Mode>,
    /// Time that a call takes here.
    pub latency_ms: AtomicU64,
    pub calls: Mutex<Vec<Call>>,
    listener: TcpListener,
    /// Open connections, to be cut when the endpoint ends.
    open: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    pub fn start(world: &World, uid: &str, destination: u64, zone: &str, kind: &str, latency_ms: u64) -> Arc<Self> {
        let endpoint = Self::closed(uid, destination, zone, kind, latency_ms);
        endpoint.serve(world);
        endpoint
    }

    /// An endpoint that is bound and accepts nothing yet.
    pub fn closed(uid: &str, destination: u64, zone: &str, kind: &str, latency_ms: u64) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Arc::new(Endpoint {
            uid: uid.to_string(),
            destination,
            zone: zone.to_string(),
            kind: kind.to_string(),
            address: listener.local_addr().unwrap(),
            state: Mutex::new("up"),
            mode: Mutex::new(Mode::Serve),
            latency_ms: AtomicU64::new(latency_ms),
            calls: Mutex::default(),
            listener,
            open: Mutex::default(),
        })
    }

    /// Lets its queue of connections run full, so that new ones come up only once [`Endpoint::serve`] is called: the
    /// kernel leaves their first packets unanswered, and the caller's kernel sends them again after a second.
    pub fn fill_queue(&self) -> Vec<TcpStream> {
        // SAFETY: a plain system call on a socket that this object owns
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut held = Vec::new();
        while held.len() < 8 {
            match TcpStream::connect_timeout(&self.address, ms(100)) {
                Ok(stream) => held.push(stream),
                Err(_) => break,
            }
        }
        held
    }

    pub fn serve(self: &Arc<Self>, world: &World) {
        // SAFETY: as above
        unsafe { listen(self.listener.as_raw_fd(), 1024) };
        let listener = self.listener.try_clone().expect("a clone of the socket");
        let (endpoint, world) = (self.clone(), world.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (endpoint, world) = (endpoint.clone(), world.clone());
                thread::spawn(move || endpoint.connection(&world, stream));
            }
        });
    }

    /// An entry for another endpoint at the address of this one, whose machine it replaces. The calls to both are in the
    /// record of this one.
    pub fn replaced_by(&self, uid: &str, destination: u64) -> Arc<Self> {
        Arc::new(Endpoint {
            uid: uid.to_string(),
            destination,
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            address: self.address,
            state: Mutex::new("removed"),
            mode: Mutex::new(Mode::Serve),
            latency_ms: AtomicU64::new(0),
            calls: Mutex::default(),
            listener: self.listener.try_clone().expect("a clone of the socket"),
            open: Mutex::default(),
        })
    }

    /// Ends the endpoint's process: its connections are reset or closed.
    pub fn end(&self, world: &World) -> Instant {
        let at = world.note(&format!("endpoint {} ends", self.uid));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        at
    }

    fn connection(&self, world: &World, mut stream: TcpStream) {
        let accepted = Instant::now();
        if let Ok(stream) = stream.try_clone() {
            self.open.lock().unwrap().push(stream);
        }
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(call)) = http::read(&mut stream, &mut rest) {
            let came = Instant::now();
            let id = call.header("x-request-id").to_string();
            world.note_at(call.began, &format!("endpoint {}: call {id} begins", self.uid));
            let number = {
                let mut calls = self.calls.lock().unwrap();
                calls.push(Call {
                    id: id.clone(),
                    began: call.began,
                    came,
                    accepted,
                    ended: None,
                    status: "",
                });
                calls.len() - 1
            };
            if *self.mode.lock().unwrap() == Mode::Hang {
                // answers nothing; notes when the sender ends the connection
                let _ = http::read(&mut stream, &mut rest);
                let ended = world.note(&format!("endpoint {}: call {id} given up", self.uid));
                self.calls.lock().unwrap()[number].ended = Some(ended);
                return;
            }
            thread::sleep(ms(self.latency_ms.load(Ordering::Relaxed)));
            let written = http::answer(&mut stream, "200 OK", "", "");
            let what = if written.is_ok() { "answered 200" } else { "cut short" };
            let ended = world.note(&format!("endpoint {}: call {id} {what}", self.uid));
            let mut calls = self.calls.lock().unwrap();
            calls[number].ended = Some(ended);
            calls[number].status = if written.is_ok() { "200" } else { "" };
        }
    }

    /// The endpoint's entry in a list.
    pub fn entry(&self) -> String {
        let Endpoint {
            uid,
            destination,
            zone,
            kind,
            address,
            ..
        } = self;
        let state = *self.state.lock().unwrap();
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"{kind}","pod_group":{destination},"state":"{state}","capacity_hint":20.0,"boot_ms":0}}"#
        )
    }
}
