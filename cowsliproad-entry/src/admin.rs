//! The operators' gRPC interface, described by `proto/admin.proto`.
//!
//! A change is answered as accepted only after its record was read back
//! from the log with that verdict. When the log's answer is lost the entry
//! reads on; if the record doesn't show in time, the outcome is unknown and
//! the operator sends the same command again, which is safe.

use std::{pin::Pin, sync::Arc, time::Duration};

use cowsliproad_admin::{convert, message};
use cowsliproad_config::{
    ConfigState,
    fold::{self, ChangeOutcome, ConfigChange, ConfigRecord, VersionedObject},
    object::{ObjectKey, ObjectKind},
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{Code, ExecutionStatus},
    id,
};
use cowsliproad_net::server::{AcceptHandle, Listener};
use futures_util::{Stream, stream};
use slog::{info, warn};
use tokio::time::{Instant, timeout_at};
use volo_grpc::{
    Request, Response, Status,
    server::{Server, ServiceBuilder},
};

use crate::{
    Shared,
    log::{self, Append},
};

/// How long a record may take to be read back.
const READ_BACK: Duration = Duration::from_secs(4);

/// The interface.
pub struct Admin {
    shared: Arc<Shared>,
}

/// Serves operators until connections are no longer accepted.
pub async fn serve(
    shared: Arc<Shared>,
    listener: Listener,
    accept_handle: AcceptHandle,
) {
    let log = shared.log.clone();
    let admin = message::AdminServer::new(Admin { shared });
    let service = ServiceBuilder::new(admin).build();
    let closed = async move {
        accept_handle.stopped_accepting().await;
        Ok(())
    };
    let server = Server::new().add_service(service);
    if let Err(error) = server.run_with_shutdown(listener, closed).await {
        warn!(log, "admin_failed"; "error" => %error);
    }
}

type Listing =
    Pin<Box<dyn Stream<Item = Result<message::ListReply, Status>> + Send>>;

impl message::Admin for Admin {
    async fn put(
        &self,
        request: Request<message::PutRequest>,
    ) -> Result<Response<message::ChangeReply>, Status> {
        let request = request.into_inner();
        let object = request.object.ok_or("object: needed".to_string());
        let object = match object.and_then(convert::from_message) {
            Ok(object) => object,
            Err(why) => return Ok(refused(Code::BadObject, &why)),
        };
        if let Err(why) = object.validate() {
            return Ok(refused(Code::BadObject, &why));
        }
        let change = ConfigChange::Put { base_revision: request.base, object };
        let command = id::Command(request.command);
        Ok(self.change(command, change, request.mode).await)
    }

    async fn delete(
        &self,
        request: Request<message::DeleteRequest>,
    ) -> Result<Response<message::ChangeReply>, Status> {
        let request = request.into_inner();
        let key = match key(&request.kind, &request.name) {
            Ok(key) => key,
            Err(why) => return Ok(refused(Code::BadObject, &why)),
        };
        let change = ConfigChange::Delete { base_revision: request.base, key };
        let command = id::Command(request.command);
        Ok(self.change(command, change, request.mode).await)
    }

    async fn get(
        &self,
        request: Request<message::GetRequest>,
    ) -> Result<Response<message::Entry>, Status> {
        let request = request.into_inner();
        let key = key(&request.kind, &request.name).map_err(|why| {
            Status::new(volo_grpc::Code::InvalidArgument, why)
        })?;
        let view = self.shared.published.load();
        let found = view.state.get(&key).map(entry);
        found.map(Response::new).ok_or_else(|| {
            let text = Code::NoSuchObject.to_string();
            Status::new(volo_grpc::Code::NotFound, text)
        })
    }

    async fn list(
        &self,
        request: Request<message::ListRequest>,
    ) -> Result<Response<message::ListReply>, Status> {
        let kind = request.into_inner().kind;
        let kind = match kind.is_empty() {
            true => None,
            false => Some(kind.parse::<ObjectKind>().map_err(|why| {
                Status::new(volo_grpc::Code::InvalidArgument, why)
            })?),
        };
        let view = self.shared.published.load();
        Ok(Response::new(listing(&view.state, kind)))
    }

    async fn watch(
        &self,
        _: Request<message::WatchRequest>,
    ) -> Result<Response<Listing>, Status> {
        let shared = self.shared.clone();
        let published = shared.published.subscribe();
        let first = true;
        let state = (shared, published, first);
        let listings =
            stream::unfold(state, async |(shared, mut published, first)| {
                if !first && published.changed().await.is_err() {
                    return None;
                }
                published.borrow_and_update();
                let view = shared.published.load();
                let reply = listing(&view.state, None);
                Some((Ok(reply), (shared, published, false)))
            });
        Ok(Response::new(Box::pin(listings)))
    }

    async fn status(
        &self,
        _: Request<message::StatusRequest>,
    ) -> Result<Response<message::StatusReply>, Status> {
        Ok(Response::new(status(&self.shared)))
    }
}

impl Admin {
    async fn change(
        &self,
        command: id::Command,
        change: ConfigChange,
        mode: message::Mode,
    ) -> Response<message::ChangeReply> {
        if mode == message::Mode::DRY_RUN {
            let view = self.shared.published.load();
            return match view.state.check_change(&change) {
                Ok(()) => {
                    reply(Code::Ok, ExecutionStatus::NotRun, 0, "dry run")
                }
                Err(code) => refused(code, "dry run"),
            };
        }
        if let Some(verdict) = self.verdict(command) {
            return self.tell(command, verdict);
        }
        let record = ConfigRecord { command, change };
        if fold::decode_record(&fold::encode_record(&record)).as_ref()
            != Some(&record)
        {
            // A record that replicas can't read would never get a verdict.
            return refused(Code::BadObject, "the object doesn't encode");
        }
        let append = log::append(&self.shared, &record).await;
        info!(self.shared.log, "append";
            "command" => %command, "outcome" => ?append);
        if append == Append::NotDone {
            return refused(Code::LogUnavailable, "");
        }
        match self.read_back(command).await {
            Some(verdict) => self.tell(command, verdict),
            None => reply(
                Code::AppendUnknown,
                ExecutionStatus::OutcomeUnknown,
                0,
                Code::AppendUnknown.text(),
            ),
        }
    }

    /// Waits until the command's record was folded in.
    async fn read_back(&self, command: id::Command) -> Option<ChangeOutcome> {
        let deadline = Instant::now() + READ_BACK;
        let mut published = self.shared.published.subscribe();
        loop {
            published.borrow_and_update();
            if let Some(verdict) = self.verdict(command) {
                return Some(verdict);
            }
            timeout_at(deadline, published.changed()).await.ok()?.ok()?;
        }
    }

    fn verdict(&self, command: id::Command) -> Option<ChangeOutcome> {
        self.shared.published.load().state.command_outcome(command)
    }

    fn tell(
        &self,
        command: id::Command,
        verdict: ChangeOutcome,
    ) -> Response<message::ChangeReply> {
        info!(self.shared.log, "command";
            "command" => %command, "verdict" => ?verdict);
        match verdict {
            ChangeOutcome::Accepted(revision) => {
                reply(Code::Ok, ExecutionStatus::Ran, revision, "accepted")
            }
            ChangeOutcome::Refused(code) => refused(code, ""),
        }
    }
}

fn refused(code: Code, detail: &str) -> Response<message::ChangeReply> {
    let detail = if detail.is_empty() { code.text() } else { detail };
    reply(code, ExecutionStatus::NotRun, 0, detail)
}

fn reply(
    code: Code,
    ran: ExecutionStatus,
    revision: u64,
    detail: &str,
) -> Response<message::ChangeReply> {
    Response::new(message::ChangeReply {
        code: u32::from(code.number()),
        name: code.name().into(),
        ran: ran.as_str().into(),
        revision,
        detail: detail.to_string().into(),
    })
}

fn key(kind: &str, name: &str) -> Result<ObjectKey, String> {
    Ok(ObjectKey::new(kind.parse()?, name))
}

fn entry(versioned: &VersionedObject) -> message::Entry {
    message::Entry {
        revision: versioned.revision,
        object: Some(convert::to_message(&versioned.object)),
    }
}

fn listing(
    state: &ConfigState,
    kind: Option<ObjectKind>,
) -> message::ListReply {
    let wanted = state
        .objects()
        .filter(|it| kind.is_none_or(|kind| it.object.key().kind == kind));
    message::ListReply {
        next: state.next_offset(),
        entries: wanted.map(entry).collect(),
    }
}

fn status(shared: &Shared) -> message::StatusReply {
    let view = shared.published.load();
    let now = Millis::now();
    let mut targets: Vec<_> = view.targets.values().collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    let targets = targets.into_iter().map(|target| {
        let status = target.status(now);
        message::TargetStatus {
            name: target.name.to_string().into(),
            service: target.service.to_string().into(),
            zone: target.zone.to_string().into(),
            state: status.state.into(),
            queued: status.load.queued_requests,
            running: status.load.running_requests,
            slots: status.load.target_request_slots,
            report_age_ms: status.age.0,
            offset: status.offset,
        }
    });
    let log = if shared.published.is_log_up() { "up" } else { "down" };
    message::StatusReply {
        entry: shared.settings.name.to_string().into(),
        next: view.state.next_offset(),
        log: log.into(),
        in_flight: shared.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        targets: targets.collect(),
    }
}
