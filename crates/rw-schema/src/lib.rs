//! Generates Rust types from the JSON Schemas in `schema/`.
//!
//! The output is committed, so that building the shipped packages does not need
//! this crate. Developers run it after a change to a schema, and a test checks
//! that the committed output is up to date.

use std::path::{Path, PathBuf};

use quick_error::quick_error;
use typify::{TypeSpace, TypeSpaceSettings};

quick_error! {
    /// Why code could not be generated.
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
        /// typify does not support something in the schema.
        Schema(msg: String) {
            display("schema not supported: {msg}")
        }
    }
}

/// Result of generating code.
pub type Result<T> = std::result::Result<T, Error>;

/// One schema and the file generated from it.
pub struct Target {
    /// Path of the schema, relative to the repository root.
    pub schema: &'static str,
    /// Path of the generated Rust file, relative to the repository root.
    pub output: &'static str,
    /// Path of the crate that defines `Name` and `Blob`, as the generated code sees it.
    pub types_crate: &'static str,
}

/// All schemas and their generated files.
pub const TARGETS: &[Target] = &[
    Target {
        schema: "schema/messages.json",
        output: "crates/rw-protocol/src/generated.rs",
        types_crate: "crate",
    },
    Target {
        schema: "schema/settings.json",
        output: "crates/rw-settings/src/generated.rs",
        types_crate: "rw_protocol",
    },
];

/// Generates the code of one target; `root` is the repository root.
pub fn generate(root: &Path, target: &Target) -> Result<String> {
    let path = root.join(target.schema);
    let text = std::fs::read_to_string(&path).map_err(|err| Error::Read(path, err))?;
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text)?;
    let mut types = TypeSpace::new(&type_space_settings(target.types_crate));
    types
        .add_root_schema(schema)
        .map_err(|err| Error::Schema(err.to_string()))?;
    let file = syn::parse2(types.to_stream()).map_err(|err| Error::Schema(err.to_string()))?;
    Ok(postprocess(&prettyplease::unparse(&file)))
}

fn type_space_settings(types_crate: &str) -> TypeSpaceSettings {
    let mut cfg = TypeSpaceSettings::default();
    let none: [typify::TypeSpaceImpl; 0] = [];
    cfg.with_replacement("Name", format!("{types_crate}::Name"), none.into_iter());
    cfg.with_replacement("Blob", format!("{types_crate}::Blob"), none.into_iter());
    cfg.with_derive("PartialEq".to_string());
    cfg
}

// Puts derives of the standard library and of other crates on separate lines, and
// removes the copies of the JSON Schema that typify adds to the doc comments.
fn postprocess(code: &str) -> String {
    let mut out = String::from("//! Generated from the JSON Schema; do not edit.\n#![allow(missing_docs, dead_code, clippy::all)]\n\n");
    let mut in_details = false;
    for line in code.lines() {
        let trimmed = line.trim_start();
        if trimmed == "/// <details><summary>JSON schema</summary>" {
            in_details = true;
        }
        if !in_details {
            out.push_str(&split_derives(line));
            out.push('\n');
        }
        if trimmed == "/// </details>" {
            in_details = false;
        }
    }
    out
}

fn split_derives(line: &str) -> String {
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
