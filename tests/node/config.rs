//! The configuration of a sender under test, and the folder for it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

static FOLDER_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Creates a folder that holds only an empty `state` folder. The folder's name contains the process id. Process ids are
/// reused, so the function first removes a folder that an earlier run may have left under the same name.
pub fn fresh_folder() -> PathBuf {
    let number = FOLDER_COUNT.fetch_add(1, Ordering::SeqCst);
    let name = format!("node-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).expect("a folder");
    folder
}

/// Returns the configuration of one sender, which listens on free ports for clients and operators. `disk_mb` is the
/// size limit of the state folder, `idle_s` the idle timeout of connections to endpoints in seconds, `sockets` the
/// limit of file descriptors.
pub fn config(discovery: SocketAddr, disk_mb: f64, idle_s: f64, sockets: usize) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","control":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets},"disk_mb":{disk_mb}}},
        "known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"az":"a","balancers":1,"zones":["a"],"machineTypes":["one","bulk"],
          "caps":{{"maxOpen":50,"mostTries":12,"mayCancel":true,"secondCopies":true,"connIdle":{idle_s},
            "dialTimeout":0.5,"retryAfter":true,"maxRetryAfter":3.0}},
          "report":{{"how":"piggyback","fields":["x0","x1"]}},
          "classes":[
            {{"name":"webhook","aim":4.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":12.0}},
            {{"name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once"}},
            {{"name":"charge","aim":4.0,"deadline":20.0,"effect":"at_most_once","oneAtATime":true}}],
          "realms":[{{"name":"acme","allowancePerS":0.01}},{{"name":"beta","allowancePerS":1000.0}}],
          "overShareWorth":0.1,
          "specifics":{{"callSlots":8,"bundleMax":[1,5],"routesApart":[false,false]}},
          "safety":{{"stopSendingWithin":1.0,"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":3.0}}}}}}"#
    )
}

/// Returns the configuration with further members, which must be JSON text that ends with a comma.
pub fn with_members(config: &str, members: &str) -> String {
    config.replacen(r#""known":"#, &format!(r#"{members}"known":"#), 1)
}
