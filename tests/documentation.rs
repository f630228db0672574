//! The pages for newcomers name only files that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Pages whose links and paths are checked.
const PAGES: [&str; 3] = ["README.md", "docs/architecture.md", "docs/glossary.md"];
/// Folders and files of the repository that a path in backticks may begin with.
const ROOTS: [&str; 9] = [
    "agreement/",
    "deploy/",
    "docs/",
    "lab/",
    "ledger/",
    "membership/",
    "registry/",
    "src/",
    "tests/",
];

fn repository() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The targets of all links `[text](target)` of a page that lead into the repository.
fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .map(|target| target.split('#').next().unwrap_or_default())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

/// The paths in backticks that begin with a folder of the repository, without patterns and commands.
fn quoted_paths(text: &str) -> impl Iterator<Item = &str> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .filter(|quoted| ROOTS.iter().any(|root| quoted.starts_with(root)))
        .filter(|quoted| !quoted.contains([' ', '*', '{', '<']))
}

/// Code blocks hold diagrams and commands, whose backticks and brackets mean nothing.
fn without_code_blocks(text: &str) -> String {
    text.split("```").step_by(2).collect::<Vec<_>>().join("\n")
}

#[test]
fn pages_links_lead_to_files() {
    for page in PAGES {
        let path = repository().join(page);
        let text = without_code_blocks(&fs::read_to_string(&path).expect("a page"));
        let folder = path.parent().expect("a folder");
        let broken: BTreeSet<&str> = links(&text)
            .filter(|target| !folder.join(target).exists())
            .collect();
        assert!(broken.is_empty(), "{page} links to {broken:?}");
    }
}

#[test]
fn pages_quoted_paths_exist() {
    for page in PAGES {
        let text = fs::read_to_string(repository().join(page)).expect("a page");
        let text = without_code_blocks(&text);
        let missing: BTreeSet<&str> = quoted_paths(&text)
            .filter(|path| !repository().join(path).exists())
            .collect();
        assert!(missing.is_empty(), "{page} names {missing:?}");
    }
}

/// The paths that the deploy file lists under a key.
fn deployed_paths(key: &str) -> BTreeSet<String> {
    let text = fs::read_to_string(repository().join("deploy/balancer.toml")).expect("the file");
    text.lines()
        .filter(|line| line.starts_with(key))
        .flat_map(|line| line.split('"').skip(1).step_by(2))
        .map(str::to_string)
        .collect()
}

/// The source files of a folder and its folders, but for their tests.
fn source_files(folder: &str) -> Vec<String> {
    let mut found = Vec::new();
    for entry in fs::read_dir(repository().join(folder)).expect("a folder") {
        let name = entry.expect("an entry").file_name();
        let path = format!("{folder}/{}", name.to_str().expect("a name"));
        if repository().join(&path).is_dir() {
            found.extend(source_files(&path));
        } else if path.ends_with(".rs") && !path.ends_with("tests.rs") {
            found.push(path);
        }
    }
    found
}

#[test]
fn deploy_file_node_paths_exist() {
    let paths = deployed_paths("node");
    assert!(!paths.is_empty());
    for path in paths {
        assert!(repository().join(&path).exists(), "no {path}");
    }
}

#[test]
fn deploy_file_policy_names_each_file_of_the_decisions() {
    let roots = ["src/decisions", "src/interface", "src/message_index"];
    let mut files: BTreeSet<String> = roots.iter().copied().flat_map(source_files).collect();
    files.extend(roots.map(|root| format!("{root}.rs")));
    files.insert("src/lifecycle.rs".to_string());
    assert_eq!(deployed_paths("policy"), files);
}
