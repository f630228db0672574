//! Runs the decision module as a text filter: reads events from standard input and writes the
//! resulting actions to standard output. One process can hold many independent senders.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = io::BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match message_sender::wire::Host::new().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("message-sender-simulator: {error}");
            ExitCode::from(2)
        }
    }
}
