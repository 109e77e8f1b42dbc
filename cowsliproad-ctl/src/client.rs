//! One call for each thing an operator does.

use std::{fmt, net::SocketAddr, time::Duration};

use cowsliproad_admin::{convert, message};
use cowsliproad_config::{
    ConfigObject,
    fold::VersionedObject,
    object::{ObjectKey, ObjectKind},
};
use cowsliproad_kernel::{
    code::{ExecutionStatus, ResultCode},
    id,
};
use futures_util::{Stream, StreamExt};
use volo_grpc::Status;

/// How long one call may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// Why a call has no result.
#[derive(Debug)]
pub enum Error {
    /// The entry could not be asked or broke off.
    Call(String),
    /// The change was refused or its outcome is unknown.
    Change {
        /// The result code.
        code: ResultCode,
        /// Whether it took effect.
        ran: ExecutionStatus,
        /// What the entry added.
        detail: String,
    },
    /// The entry's answer makes no sense.
    Answer(String),
}

/// Whether a change is made or only tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// It is written to the log.
    Commit,
    /// Only its verdict is asked for.
    DryRun,
}

/// A connection to an entry's operator interface.
#[derive(Clone)]
pub struct Client {
    calls: message::AdminClient,
}

impl Client {
    /// A client of the entry at an address.
    pub fn new(address: SocketAddr) -> Client {
        let calls = message::AdminClientBuilder::new("cowsliproad")
            .address(volo::net::Address::from(address))
            .rpc_timeout(Some(PATIENCE))
            .build();
        Client { calls }
    }

    /// Creates or replaces an object and returns its revision.
    pub async fn put(
        &self,
        command: id::Command,
        base: u64,
        object: &ConfigObject,
        mode: Mode,
    ) -> Result<u64, Error> {
        let request = message::PutRequest {
            command: command.0,
            base,
            object: Some(convert::to_message(object)),
            mode: to_mode(mode),
        };
        result(self.calls.put(request).await?.into_inner())
    }

    /// Removes an object.
    pub async fn delete(
        &self,
        command: id::Command,
        base: u64,
        key: &ObjectKey,
        mode: Mode,
    ) -> Result<u64, Error> {
        let request = message::DeleteRequest {
            command: command.0,
            base,
            kind: key.kind.as_str().into(),
            name: key.name.to_string().into(),
            mode: to_mode(mode),
        };
        result(self.calls.delete(request).await?.into_inner())
    }

    /// Reads an object.
    pub async fn get(
        &self,
        key: &ObjectKey,
    ) -> Result<VersionedObject, Error> {
        let request = message::GetRequest {
            kind: key.kind.as_str().into(),
            name: key.name.to_string().into(),
        };
        versioned(self.calls.get(request).await?.into_inner())
    }

    /// Reads all objects, or those of one kind, and the offset after the
    /// last record in force.
    pub async fn list(
        &self,
        kind: Option<ObjectKind>,
    ) -> Result<(u64, Vec<VersionedObject>), Error> {
        let kind = kind.map_or("", ObjectKind::as_str).into();
        let request = message::ListRequest { kind };
        listing(self.calls.list(request).await?.into_inner())
    }

    /// Streams the configuration, now and after every change.
    pub async fn watch(
        &self,
    ) -> Result<
        impl Stream<Item = Result<(u64, Vec<VersionedObject>), Error>> + use<'_>,
        Error,
    > {
        let request = message::WatchRequest {};
        let stream = self.calls.watch(request).await?.into_inner();
        Ok(stream.map(|reply| listing(reply?)))
    }

    /// Reads what the entry knows of targets and of its own replica.
    pub async fn status(&self) -> Result<message::StatusReply, Error> {
        let request = message::StatusRequest {};
        Ok(self.calls.status(request).await?.into_inner())
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}

impl Error {
    /// The result code, if the entry gave one.
    pub fn code(&self) -> Option<ResultCode> {
        match self {
            Error::Change { code, .. } => Some(*code),
            Error::Call(_) | Error::Answer(_) => None,
        }
    }
}

impl From<Status> for Error {
    fn from(status: Status) -> Error {
        Error::Call(format!("{:?}: {}", status.code(), status.message()))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Call(why) => write!(f, "the call failed: {why}"),
            Error::Change { code, ran, detail } => {
                let number = code.number();
                let name = code.name();
                write!(f, "{number} {name}, {}: {detail}", ran.as_str())
            }
            Error::Answer(why) => write!(f, "the answer is bad: {why}"),
        }
    }
}

impl std::error::Error for Error {}

fn to_mode(mode: Mode) -> message::Mode {
    match mode {
        Mode::Commit => message::Mode::COMMIT,
        Mode::DryRun => message::Mode::DRY_RUN,
    }
}

fn result(reply: message::ChangeReply) -> Result<u64, Error> {
    let number = u16::try_from(reply.code).unwrap_or(u16::MAX);
    let code = ResultCode::try_from(number).map_err(Error::Answer)?;
    if code == ResultCode::Ok {
        return Ok(reply.revision);
    }
    let ran = match reply.ran.as_str() {
        "NOT_RUN" => ExecutionStatus::NotRun,
        _ => ExecutionStatus::OutcomeUnknown,
    };
    Err(Error::Change { code, ran, detail: reply.detail.to_string() })
}

fn listing(
    reply: message::ListReply,
) -> Result<(u64, Vec<VersionedObject>), Error> {
    let objects: Result<Vec<_>, _> =
        reply.entries.into_iter().map(versioned).collect();
    Ok((reply.next, objects?))
}

fn versioned(entry: message::Entry) -> Result<VersionedObject, Error> {
    let object = entry.object.ok_or(Error::Answer("no object".into()))?;
    let object = convert::from_message(object).map_err(Error::Answer)?;
    Ok(VersionedObject { revision: entry.revision, object })
}
