//! The subcommands, their arguments and flags keep their names.

use crate::cluster::PROGRAM;
use crate::golden;
use std::process::Command;

const SUBCOMMANDS: [&str; 14] = [
    "run", "status", "list", "put", "drain", "remove", "show", "compare", "rules", "undo", "wait",
    "join", "leave", "transfer",
];

/// The names in a help text: what stands before the descriptions, and defaults.
fn names(help: &str) -> String {
    let mut names = String::new();
    for line in help.lines() {
        let name = line.trim_start();
        let indented = line.len() > name.len();
        if name.starts_with("Usage:") || name.ends_with(':') {
            names += &format!("{line}\n");
        } else if indented {
            let end = name.find("  ").unwrap_or(name.len());
            let default = name.find("[default:").map_or("", |at| &name[at..]);
            names += &format!("  {} {default}\n", &name[..end]);
        }
    }
    names
}

#[test]
fn subcommands_and_flags_keep_their_names() {
    let help = |arguments: &[&str]| {
        let output = Command::new(PROGRAM)
            .args(arguments)
            .output()
            .expect("it runs");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    let program = std::path::Path::new(PROGRAM)
        .file_name()
        .expect("a name")
        .to_string_lossy()
        .into_owned();
    let mut text = names(&help(&["--help"]));
    for subcommand in SUBCOMMANDS {
        text += &format!("\n{subcommand}\n{}", names(&help(&[subcommand, "--help"])));
    }
    golden::assert_same(
        "command-line.txt",
        text.replace(&program, "PROGRAM").as_bytes(),
    );
}
