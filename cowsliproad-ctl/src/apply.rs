//! Brings the configuration to what a file says.
//!
//! The file is a JSON list of objects. Objects that differ are put, in an
//! order in which each finds what it needs. Objects that the file doesn't
//! have are left alone unless pruning is asked for.

use std::{collections::BTreeMap, fmt};

use cowsliproad_config::{
    ConfigObject,
    fold::VersionedObject,
    object::{ObjectKey, ObjectKind},
};
use cowsliproad_kernel::{code::ResultCode, id};

use crate::client::{Client, Error, Mode};

/// Times that a change whose outcome is unknown is sent again.
const RESENDS: u32 = 5;

/// One difference between the file and the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// The object is new.
    Create(ConfigObject),
    /// The object changes; the old one has this revision.
    Replace(u64, ConfigObject),
    /// The object of this revision goes.
    Delete(u64, ObjectKey),
}

/// What becomes of objects that the file doesn't have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Others {
    /// They stay.
    Keep,
    /// They are deleted.
    Prune,
}

/// What has to change for the configuration to be as the file says.
pub fn differences(
    wanted: &[ConfigObject],
    present: &[VersionedObject],
    others: Others,
) -> Vec<Difference> {
    let mut present: BTreeMap<ObjectKey, &VersionedObject> =
        present.iter().map(|it| (it.object.key(), it)).collect();
    let mut found = Vec::new();
    for kind in ObjectKind::ALL {
        let of_kind = wanted.iter().filter(|it| it.key().kind == kind);
        for object in of_kind {
            match present.remove(&object.key()) {
                None => found.push(Difference::Create(object.clone())),
                Some(old) if old.object != *object => found
                    .push(Difference::Replace(old.revision, object.clone())),
                Some(_) => {}
            }
        }
    }
    if others == Others::Prune {
        let rest = present.into_iter().rev();
        found.extend(
            rest.map(|(key, it)| Difference::Delete(it.revision, key)),
        );
    }
    found
}

/// Makes the changes one by one.
pub async fn apply(
    client: &Client,
    differences: &[Difference],
    mode: Mode,
) -> Result<(), Error> {
    for difference in differences {
        change(client, difference, mode).await?;
    }
    Ok(())
}

/// Makes one change, sending the same command again while its outcome is
/// unknown.
pub async fn change(
    client: &Client,
    difference: &Difference,
    mode: Mode,
) -> Result<u64, Error> {
    let command = id::Command::random();
    let mut resends = 0;
    loop {
        let outcome = match difference {
            Difference::Create(object) => {
                client.put(command, 0, object, mode).await
            }
            Difference::Replace(base, object) => {
                client.put(command, *base, object, mode).await
            }
            Difference::Delete(base, key) => {
                client.delete(command, *base, key, mode).await
            }
        };
        match outcome {
            Err(error) if is_unknown(&error) && resends < RESENDS => {
                resends += 1;
            }
            other => return other,
        }
    }
}

fn is_unknown(error: &Error) -> bool {
    error.code() == Some(ResultCode::AppendUnknown)
        || matches!(error, Error::Call(_))
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Create(object) => {
                write!(f, "+ {} {}", object.key(), json(object))
            }
            Difference::Replace(base, object) => {
                write!(f, "~ {} (was @{base}) {}", object.key(), json(object))
            }
            Difference::Delete(base, key) => {
                write!(f, "- {key} (was @{base})")
            }
        }
    }
}

fn json(object: &ConfigObject) -> String {
    serde_json::to_string(object).unwrap_or_else(|error| error.to_string())
}
