//! Settings files: one JSON file for each program, which is validated before
//! the program starts.
//!
//! A file with an unknown field or a value of the wrong type is rejected. The
//! error contains the path of the field and what was expected there.

use std::{fmt, fs, path::Path};

use serde::{Serialize, de::DeserializeOwned};

/// Why a settings file was rejected.
#[derive(Debug)]
pub struct Error {
    file: String,
    field: String,
    reason: String,
    may_be_unfinished: bool,
}

impl Error {
    /// Whether the file may still be being written: it is missing, can't be
    /// read, or ends early.
    pub fn may_be_unfinished(&self) -> bool {
        self.may_be_unfinished
    }
}

/// A settings type that can validate its values.
pub trait Validate {
    /// Checks the values, also against one another. Returns the path of the
    /// first invalid field and a description of valid values.
    fn validate(&self) -> Result<(), (&'static str, String)>;
}

/// Reads a settings file and validates it.
pub fn read<T: Validate + DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Error {
        file: file.clone(),
        field: ".".into(),
        reason: error.to_string(),
        may_be_unfinished: true,
    })?;
    parse(&file, &text)
}

/// Parses the text of a settings file and validates the settings. Errors
/// contain the file name `file`.
pub fn parse<T: Validate + DeserializeOwned>(
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
                may_be_unfinished: error.inner().is_eof(),
            }
        })?;
    json.end().map_err(|error| Error {
        file: file.into(),
        field: ".".into(),
        reason: error.to_string(),
        may_be_unfinished: false,
    })?;
    settings.validate().map_err(|(field, reason)| Error {
        file: file.into(),
        field: field.into(),
        reason,
        may_be_unfinished: false,
    })?;
    Ok(settings)
}

/// Formats settings as a settings file.
pub fn to_json<T: Serialize>(settings: &T) -> String {
    serde_json::to_string_pretty(settings)
        .unwrap_or_else(|error| format!("can't encode settings: {error}"))
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: field {}: {}", self.file, self.field, self.reason)
    }
}

impl std::error::Error for Error {}
