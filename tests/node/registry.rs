//! Runs the real registry program with one replica. `cargo test --workspace` builds it next to the sender's program.

use super::{Agent, Endpoint, Node, fresh_folder, wait_until, with_members};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running registry with one replica. Its process is killed on drop.
pub struct Registry {
    /// Folder with the registry's settings and log.
    pub folder: PathBuf,
    pub address: SocketAddr,
    pub process: Child,
}

impl Registry {
    /// Starts a registry. `files` are names and contents of files that are written next to its settings file, `tables`
    /// is TOML text that is appended to the settings.
    pub fn new(files: &[(&str, String)], tables: &str) -> Self {
        let folder = fresh_folder();
        let address = TcpListener::bind("127.0.0.1:0")
            .and_then(|free| free.local_addr())
            .expect("a port");
        let write =
            |name: &str, text: &str| std::fs::write(folder.join(name), text).expect("written");
        files.iter().for_each(|(name, text)| write(name, text));
        let settings = format!(
            "cluster = \"test\"\nid = 1\nlisten = \"{address}\"\nfolder = \"log\"\n{tables}"
        );
        write("registry.toml", &settings);
        let process = Registry::run(&folder);
        Registry {
            folder,
            address,
            process,
        }
    }

    fn run(folder: &Path) -> Child {
        let program =
            Path::new(env!("CARGO_BIN_EXE_message-sender")).with_file_name("fleet-registry");
        assert!(
            program.exists(),
            "{} is built by cargo test --workspace",
            program.display()
        );
        let mut command = Command::new(program);
        command
            .args(["run", "--config"])
            .arg(folder.join("registry.toml"));
        command
            .stderr(Stdio::null())
            .spawn()
            .expect("the registry starts")
    }

    /// Sends a request and returns the status and the JSON body of the response, which is null if the body is not JSON.
    /// Returns `None` if the registry can't be reached or its response can't be read as HTTP.
    pub fn request(&self, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\n");
        stream
            .write_all(format!("{head}content-length: {length}\r\n\r\n{body}").as_bytes())
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some((
            head.split(' ').nth(1)?.parse().ok()?,
            serde_json::from_str(body).unwrap_or_default(),
        ))
    }

    /// Repeats a request until the response has status 200.
    pub fn request_until_ok(&self, method: &str, path: &str, body: &Value) {
        wait_until(path, || {
            self.request(method, path, body)
                .is_some_and(|(status, _)| status == 200)
        });
    }

    /// Adds an endpoint to the registry's endpoint list.
    pub fn add_endpoint(&self, uid: &str, endpoint: &Endpoint, dest: u64) {
        let target =
            json!({ "endpoint": endpoint.address, "pod_group": dest, "az": "a", "model": "one" });
        self.request_until_ok("PUT", &format!("/v1/endpoints/{uid}"), &target);
    }

    pub fn kill(&mut self) {
        self.process
            .kill()
            .and_then(|()| self.process.wait())
            .expect("killed");
    }

    /// Starts the registry again after [`Registry::kill`], on the same folder.
    pub fn start(&mut self) {
        self.process = Registry::run(&self.folder);
    }

    /// Starts a sender that uses this registry for discovery, and waits until it is ready. `members` is JSON text of
    /// further configuration fields, which ends with a comma (see [`with_members`]).
    pub fn sender(&self, name: &str, members: &str) -> Node {
        let mut agent = Agent::new(Vec::new());
        agent.address = self.address;
        let members = format!(r#""name":"{name}",{members}"#);
        Node::configured_with(&agent, |text| {
            with_members(&text.replace(r#""name":"n1","#, ""), &members)
        })
        .ready()
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
