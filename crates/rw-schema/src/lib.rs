//! Turns a JSON Schema of `schema/` into committed Rust types.
//!
//! Only developers and one test run this crate: the shipped packages build
//! from the committed output.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use typify::{TypeSpace, TypeSpaceSettings};

quick_error! {
    /// Why no code came out of a schema.
    #[derive(Debug)]
    pub enum Error {
        /// The schema file could not be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("cannot read {}: {}; run from the repository root", path.display(), err)
        }
        /// The file is not a JSON Schema.
        Json(err: serde_json::Error) {
            display("not a JSON Schema: {err}")
            from()
        }
        /// The schema uses something that typify cannot express.
        Schema(msg: String) {
            display("schema not supported: {msg}")
        }
    }
}

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// One schema and the file generated from it.
pub struct Target {
    /// Schema, relative to the repository root.
    pub schema: &'static str,
    /// Generated Rust file, relative to the repository root.
    pub output: &'static str,
    /// Path of the crate that holds `Name` and `Blob`.
    pub base: &'static str,
}

/// Everything that is generated.
pub const TARGETS: &[Target] = &[
    Target {
        schema: "schema/messages.json",
        output: "crates/rw-protocol/src/generated.rs",
        base: "crate",
    },
    Target {
        schema: "schema/settings.json",
        output: "crates/rw-settings/src/generated.rs",
        base: "rw_protocol",
    },
];

/// Generates the code of one target; `root` is the repository root.
pub fn generate(root: &Path, target: &Target) -> Result<String> {
    let path = root.join(target.schema);
    let text = std::fs::read_to_string(&path).map_err(|err| Error::Read(path, err))?;
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text)?;
    let mut types = TypeSpace::new(&settings(target.base));
    types
        .add_root_schema(schema)
        .map_err(|err| Error::Schema(err.to_string()))?;
    let file = syn::parse2(types.to_stream()).map_err(|err| Error::Schema(err.to_string()))?;
    Ok(polish(&prettyplease::unparse(&file)))
}

fn settings(base: &str) -> TypeSpaceSettings {
    let mut cfg = TypeSpaceSettings::default();
    let none: [typify::TypeSpaceImpl; 0] = [];
    cfg.with_replacement("Name", format!("{base}::Name"), none.into_iter());
    cfg.with_replacement("Blob", format!("{base}::Blob"), none.into_iter());
    cfg.with_derive("PartialEq".to_string());
    cfg
}

// Standard and foreign derives stand on lines of their own, and the output
// carries no JSON copies of the schema.
fn polish(code: &str) -> String {
    let mut out = String::from("//! Generated from the JSON Schema; do not edit.\n#![allow(missing_docs, dead_code, clippy::all)]\n\n");
    let mut in_details = false;
    for line in code.lines() {
        let trimmed = line.trim_start();
        if trimmed == "/// <details><summary>JSON schema</summary>" {
            in_details = true;
        }
        if !in_details {
            out.push_str(&split_derive(line));
            out.push('\n');
        }
        if trimmed == "/// </details>" {
            in_details = false;
        }
    }
    out
}

fn split_derive(line: &str) -> String {
    let trimmed = line.trim_start();
    let indent = &line[..line.len() - trimmed.len()];
    let Some(list) = trimmed
        .strip_prefix("#[derive(")
        .and_then(|rest| rest.strip_suffix(")]"))
    else {
        return line.to_string();
    };
    let (foreign, standard): (Vec<&str>, Vec<&str>) =
        list.split(", ").partition(|d| d.contains("::"));
    format!(
        "{indent}#[derive({})]\n{indent}#[derive({})]",
        standard.join(", "),
        foreign.join(", ")
    )
}
