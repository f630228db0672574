//! Deployments for the bench: a base site file with single properties changed, written as a site folder.

mod axes;
mod classes;
mod edit;
mod random_choices;
mod tables;
mod tenants_and_zones;
mod values;

use anyhow::Context;
use std::fs;
use std::path::{Path, PathBuf};
use thiserror::Error;
use toml_edit::{DocumentMut, value};

pub use axes::{AXES, Axis};
pub use random_choices::draw_choices;

/// Files beside a site file that the bench reads; they are copied unchanged.
const COMPANION_FILES: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];

/// One value of one axis.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The axis.
    pub axis: &'static Axis,
    /// Index into the axis's values.
    pub value: usize,
}

/// Why a text does not name a choice.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ChoiceError {
    /// The text has no `=`.
    #[error("`{0}` is not of the form axis=value")]
    NoEqualsSign(String),
    /// No axis has this name.
    #[error("no axis `{0}`; `fault-lab axes` lists them")]
    UnknownAxis(String),
    /// The axis has no such value.
    #[error("axis `{axis}` has no value `{value}`; it has {known}")]
    UnknownValue {
        /// Name of the axis.
        axis: &'static str,
        /// What was asked for.
        value: String,
        /// The names of its values.
        known: String,
    },
}

impl std::str::FromStr for Choice {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Choice, ChoiceError> {
        let (name, wanted) = text
            .split_once('=')
            .ok_or_else(|| ChoiceError::NoEqualsSign(text.to_string()))?;
        let axis = AXES.iter().find(|axis| axis.name == name);
        let axis = axis.ok_or_else(|| ChoiceError::UnknownAxis(name.to_string()))?;
        let value = axis.values.iter().position(|value| value.name == wanted);
        let value = value.ok_or_else(|| ChoiceError::UnknownValue {
            axis: axis.name,
            value: wanted.to_string(),
            known: axis
                .values
                .iter()
                .map(|value| value.name)
                .collect::<Vec<_>>()
                .join(", "),
        })?;
        Ok(Choice { axis, value })
    }
}

impl std::fmt::Display for Choice {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "{}={}",
            self.axis.name, self.axis.values[self.value].name
        )
    }
}

/// The base site's text under another name, with the choices applied in their order.
///
/// # Errors
/// The base is no site file, or lacks what a choice changes.
pub fn derive(base: &str, name: &str, choices: &[Choice]) -> anyhow::Result<String> {
    let mut site: DocumentMut = base.parse().context("the base is no site file")?;
    site["name"] = value(name);
    for choice in choices {
        for edit in choice.axis.values[choice.value].edits {
            edit.apply(&mut site).with_context(|| choice.to_string())?;
        }
    }
    Ok(site.to_string())
}

/// Writes the folder of a site derived from `base`, named after the folder, and returns the site file's path.
///
/// # Errors
/// A file can't be read or written, or a choice can't be applied.
pub fn write(base: &Path, out: &Path, choices: &[Choice]) -> anyhow::Result<PathBuf> {
    let name = out
        .file_name()
        .and_then(|name| name.to_str())
        .context("the folder has no name")?;
    let text = fs::read_to_string(base).with_context(|| base.display().to_string())?;
    let site = derive(&text, name, choices)?;
    fs::create_dir_all(out)?;
    for companion in COMPANION_FILES {
        let from = base.with_file_name(companion);
        // the content alone: a base that may not be written to must not make its copies so
        let content = fs::read(&from).with_context(|| from.display().to_string())?;
        fs::write(out.join(companion), content)?;
    }
    let path = out.join(format!("{name}.toml"));
    fs::write(&path, site)?;
    Ok(path)
}
