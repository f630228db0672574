//! The message sender's program: reads the configuration and runs until shortly after SIGTERM, or until a successor has
//! taken over and the calls and clients of this process are complete. Exits at once if a process that started later
//! owns the state folder.

mod net;

use net::config::Config;
use net::process;
use std::error::Error;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("message-sender: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, process::run(config))?;
    Ok(())
}
