//! Settings files: one JSON file for each program, checked as a whole.
//!
//! An unknown or ill-typed field is refused with the path of the field and
//! what was expected there. Reading is apart from running: a program first
//! turns its file into its settings type, then starts.

use std::{fmt, fs, path::Path};

use serde::{Serialize, de::DeserializeOwned};

/// Why a settings file was refused.
#[derive(Debug)]
pub struct Error {
    file: String,
    field: String,
    reason: String,
}

/// A settings type that can check its values against one another.
pub trait Check {
    /// The path of the first bad field and what would be right.
    fn check(&self) -> Result<(), (&'static str, String)>;
}

/// Reads and checks the settings in a file.
pub fn read<T: Check + DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Error {
        file: file.clone(),
        field: ".".into(),
        reason: error.to_string(),
    })?;
    parse(&file, &text)
}

/// Parses and checks settings; `file` is named in errors.
pub fn parse<T: Check + DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_str(text);
    let settings: T =
        serde_path_to_error::deserialize(&mut json).map_err(|error| {
            Error {
                file: file.into(),
                field: error.path().to_string(),
                reason: error.inner().to_string(),
            }
        })?;
    json.end().map_err(|error| Error {
        file: file.into(),
        field: ".".into(),
        reason: error.to_string(),
    })?;
    settings.check().map_err(|(field, reason)| Error {
        file: file.into(),
        field: field.into(),
        reason,
    })?;
    Ok(settings)
}

/// The settings as an operator would write them.
pub fn print<T: Serialize>(settings: &T) -> String {
    serde_json::to_string_pretty(settings)
        .unwrap_or_else(|error| format!("settings don't print: {error}"))
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: field {}: {}", self.file, self.field, self.reason)
    }
}

impl std::error::Error for Error {}
