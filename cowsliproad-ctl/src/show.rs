//! Tables and JSON for operators.

use cowsliproad_admin::message::StatusReply;
use cowsliproad_config::fold::VersionedObject;
use serde_json::{Value, json};

/// One line for each object.
pub fn table(objects: &[VersionedObject]) -> String {
    let lines = objects.iter().map(|it| {
        let key = it.object.key();
        let fields = match json!(it.object) {
            Value::Object(fields) => fields,
            _ => Default::default(),
        };
        let fields = fields
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "kind" | "name"));
        let fields: Vec<String> =
            fields.map(|(name, value)| format!("{name}={value}")).collect();
        format!(
            "{:<13} {:<28} @{:<8} {}\n",
            key.kind.as_str(),
            key.name,
            it.revision,
            fields.join(" ")
        )
    });
    lines.collect()
}

/// A JSON object for each object.
pub fn objects(next: u64, objects: &[VersionedObject]) -> Value {
    let objects: Vec<Value> = objects.iter().map(object).collect();
    json!({ "next": next, "objects": objects })
}

/// An object with its revision.
pub fn object(versioned: &VersionedObject) -> Value {
    json!({ "revision": versioned.revision, "object": versioned.object })
}

/// The targets as an entry sees them.
pub fn status(status: &StatusReply) -> String {
    let mut text = format!(
        "entry {}  offset {}  log {}  in flight {}\n\
         {:<20} {:<16} {:<10} {:<12} {:>6} {:>7} {:>5} {:>8} {:>8}\n",
        status.entry,
        status.next,
        status.log,
        status.in_flight,
        "TARGET",
        "SERVICE",
        "ZONE",
        "STATE",
        "QUEUED",
        "RUNNING",
        "SLOTS",
        "AGE_MS",
        "OFFSET",
    );
    for it in &status.targets {
        text.push_str(&format!(
            "{:<20} {:<16} {:<10} {:<12} {:>6} {:>7} {:>5} {:>8} {:>8}\n",
            it.name,
            it.service,
            it.zone,
            it.state,
            it.queued,
            it.running,
            it.slots,
            it.report_age_ms,
            it.offset,
        ));
    }
    text
}

/// The same as JSON.
pub fn status_json(status: &StatusReply) -> Value {
    let targets: Vec<Value> = status
        .targets
        .iter()
        .map(|it| {
            json!({
                "name": it.name.as_str(),
                "service": it.service.as_str(),
                "zone": it.zone.as_str(),
                "state": it.state.as_str(),
                "queued": it.queued,
                "running": it.running,
                "slots": it.slots,
                "report_age_ms": it.report_age_ms,
                "offset": it.offset,
            })
        })
        .collect();
    json!({
        "entry": status.entry.as_str(),
        "next": status.next,
        "log": status.log.as_str(),
        "in_flight": status.in_flight,
        "targets": targets,
    })
}
