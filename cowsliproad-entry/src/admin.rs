//! The operators' gRPC interface, described by `proto/admin.proto`.
//!
//! A change is reported as accepted only after its record was read back from
//! the log with that verdict. When the response of the log is lost, the entry
//! process reads on. If the record does not appear in time, the outcome is
//! unknown and the operator sends the same command again, which is safe.

use std::{pin::Pin, sync::Arc, time::Duration};

use cowsliproad_admin::{convert, message};
use cowsliproad_config::{
    ConfigState,
    fold::{self, ChangeOutcome, ConfigChange, ConfigRecord, VersionedObject},
    object::{ObjectKey, ObjectKind},
};
use cowsliproad_kernel::{
    clock::Millis,
    code::{ExecutionStatus, ResultCode},
    id,
};
use cowsliproad_net::server::{AcceptHandle, Listener};
use cowsliproad_net::timer::timeout_at;
use futures_util::{Stream, stream};
use slog::{info, warn};
use volo_grpc::{
    Request, Response, Status,
    server::{Server, ServiceBuilder},
};

use crate::{
    EntryState,
    log::{self, AppendOutcome},
};

/// How long the record of a command may take to be read back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Handles the gRPC requests of operators.
pub struct AdminService {
    shared: Arc<EntryState>,
}

/// Serves operators until the process no longer accepts connections.
pub async fn serve_operators(
    shared: Arc<EntryState>,
    listener: Listener,
    accept_handle: AcceptHandle,
) {
    let log = shared.logger.clone();
    let admin = message::AdminServer::new(AdminService { shared });
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

type ListReplyStream =
    Pin<Box<dyn Stream<Item = Result<message::ListReply, Status>> + Send>>;

impl message::Admin for AdminService {
    async fn put(
        &self,
        request: Request<message::PutRequest>,
    ) -> Result<Response<message::ChangeReply>, Status> {
        let request = request.into_inner();
        let object = request.object.ok_or("object: needed".to_string());
        let object = match object.and_then(convert::from_message) {
            Ok(object) => object,
            Err(why) => {
                return Ok(refused_change(ResultCode::BadObject, &why));
            }
        };
        if let Err(why) = object.validate() {
            return Ok(refused_change(ResultCode::BadObject, &why));
        }
        let change = ConfigChange::Put { base_revision: request.base, object };
        let command = id::Command(request.command);
        Ok(self.apply_change(command, change, request.mode).await)
    }

    async fn delete(
        &self,
        request: Request<message::DeleteRequest>,
    ) -> Result<Response<message::ChangeReply>, Status> {
        let request = request.into_inner();
        let key = match parse_object_key(&request.kind, &request.name) {
            Ok(key) => key,
            Err(why) => {
                return Ok(refused_change(ResultCode::BadObject, &why));
            }
        };
        let change = ConfigChange::Delete { base_revision: request.base, key };
        let command = id::Command(request.command);
        Ok(self.apply_change(command, change, request.mode).await)
    }

    async fn get(
        &self,
        request: Request<message::GetRequest>,
    ) -> Result<Response<message::Entry>, Status> {
        let request = request.into_inner();
        let key =
            parse_object_key(&request.kind, &request.name).map_err(|why| {
                Status::new(volo_grpc::Code::InvalidArgument, why)
            })?;
        let view = self.shared.published_view.current_view();
        let found = view.config_state.get(&key).map(entry_message);
        found.map(Response::new).ok_or_else(|| {
            let text = ResultCode::NoSuchObject.to_string();
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
        let view = self.shared.published_view.current_view();
        Ok(Response::new(list_reply(&view.config_state, kind)))
    }

    async fn watch(
        &self,
        _: Request<message::WatchRequest>,
    ) -> Result<Response<ListReplyStream>, Status> {
        let shared = self.shared.clone();
        let published = shared.published_view.subscribe_offsets();
        let first = true;
        let state = (shared, published, first);
        let listings =
            stream::unfold(state, async |(shared, mut published, first)| {
                if !first && published.changed().await.is_err() {
                    return None;
                }
                published.borrow_and_update();
                let view = shared.published_view.current_view();
                let reply = list_reply(&view.config_state, None);
                Some((Ok(reply), (shared, published, false)))
            });
        Ok(Response::new(Box::pin(listings)))
    }

    async fn status(
        &self,
        _: Request<message::StatusRequest>,
    ) -> Result<Response<message::StatusReply>, Status> {
        Ok(Response::new(status_reply(&self.shared)))
    }
}

impl AdminService {
    /// Checks a change without applying it in a dry run; otherwise appends the
    /// change to the log and waits for its verdict.
    async fn apply_change(
        &self,
        command: id::Command,
        change: ConfigChange,
        mode: message::Mode,
    ) -> Response<message::ChangeReply> {
        if mode == message::Mode::DRY_RUN {
            let view = self.shared.published_view.current_view();
            return match view.config_state.check_change(&change) {
                Ok(()) => change_reply(
                    ResultCode::Ok,
                    ExecutionStatus::NotRun,
                    0,
                    "dry run",
                ),
                Err(code) => refused_change(code, "dry run"),
            };
        }
        if let Some(verdict) = self.published_verdict(command) {
            return self.reply_with_verdict(command, verdict);
        }
        let record = ConfigRecord { command, change };
        if fold::decode_record(&fold::encode_record(&record)).as_ref()
            != Some(&record)
        {
            // A record that replicas cannot decode would never get a verdict.
            return refused_change(
                ResultCode::BadObject,
                "the object doesn't encode",
            );
        }
        let append = log::append_record(&self.shared, &record).await;
        info!(self.shared.logger, "append";
            "command" => %command, "outcome" => ?append);
        if append == AppendOutcome::NotDone {
            return refused_change(ResultCode::LogUnavailable, "");
        }
        match self.wait_for_verdict(command).await {
            Some(verdict) => self.reply_with_verdict(command, verdict),
            None => change_reply(
                ResultCode::AppendUnknown,
                ExecutionStatus::OutcomeUnknown,
                0,
                ResultCode::AppendUnknown.text(),
            ),
        }
    }

    /// Waits until the record of a command is read back, and returns its
    /// verdict, or `None` after the timeout.
    async fn wait_for_verdict(
        &self,
        command: id::Command,
    ) -> Option<ChangeOutcome> {
        let deadline = Millis::now() + READ_BACK_TIMEOUT.into();
        let mut published = self.shared.published_view.subscribe_offsets();
        loop {
            published.borrow_and_update();
            if let Some(verdict) = self.published_verdict(command) {
                return Some(verdict);
            }
            timeout_at(deadline, published.changed()).await.ok()?.ok()?;
        }
    }

    /// The verdict of a command in the published configuration state.
    fn published_verdict(
        &self,
        command: id::Command,
    ) -> Option<ChangeOutcome> {
        self.shared
            .published_view
            .current_view()
            .config_state
            .command_outcome(command)
    }

    /// Logs the verdict of a command and returns it as a reply.
    fn reply_with_verdict(
        &self,
        command: id::Command,
        verdict: ChangeOutcome,
    ) -> Response<message::ChangeReply> {
        info!(self.shared.logger, "command";
            "command" => %command, "verdict" => ?verdict);
        match verdict {
            ChangeOutcome::Accepted(revision) => change_reply(
                ResultCode::Ok,
                ExecutionStatus::Ran,
                revision,
                "accepted",
            ),
            ChangeOutcome::Refused(code) => refused_change(code, ""),
        }
    }
}

fn refused_change(
    code: ResultCode,
    detail: &str,
) -> Response<message::ChangeReply> {
    let detail = if detail.is_empty() { code.text() } else { detail };
    change_reply(code, ExecutionStatus::NotRun, 0, detail)
}

fn change_reply(
    code: ResultCode,
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

fn parse_object_key(kind: &str, name: &str) -> Result<ObjectKey, String> {
    Ok(ObjectKey::new(kind.parse()?, name))
}

fn entry_message(versioned: &VersionedObject) -> message::Entry {
    message::Entry {
        revision: versioned.revision,
        object: Some(convert::to_message(&versioned.object)),
    }
}

fn list_reply(
    state: &ConfigState,
    kind: Option<ObjectKind>,
) -> message::ListReply {
    let wanted = state
        .objects()
        .filter(|it| kind.is_none_or(|kind| it.object.key().kind == kind));
    message::ListReply {
        next: state.next_offset(),
        entries: wanted.map(entry_message).collect(),
    }
}

fn status_reply(shared: &EntryState) -> message::StatusReply {
    let view = shared.published_view.current_view();
    let now = Millis::now();
    let mut targets: Vec<_> = view.targets.values().collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    let targets = targets.into_iter().map(|target| {
        let status = target.operator_status(now);
        message::TargetStatus {
            name: target.name.to_string().into(),
            service: target.service.to_string().into(),
            zone: target.zone.to_string().into(),
            state: status.state_name.into(),
            queued: status.agent_load.queued_requests,
            running: status.agent_load.running_requests,
            slots: status.agent_load.target_request_slots,
            report_age_ms: status.agent_load_age.0,
            offset: status.next_config_offset,
        }
    });
    let log =
        if shared.published_view.is_log_reachable() { "up" } else { "down" };
    message::StatusReply {
        entry: shared.settings.name.to_string().into(),
        next: view.config_state.next_offset(),
        log: log.into(),
        in_flight: shared
            .in_flight_requests
            .load(std::sync::atomic::Ordering::Relaxed),
        targets: targets.collect(),
    }
}
