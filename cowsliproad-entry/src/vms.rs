//! The platform's list of live and leaving VMs.
//!
//! The list lags, so it only supplements the heartbeats of agents: a target
//! whose VM the list shows as leaving gets no new work, even while its agent
//! does not know. A list that cannot be read changes nothing.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cowsliproad_net::timer::sleep;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;

use crate::{EntryState, control::ControlEvent};

/// The interval between two reads of the VM list, and the timeout of one read.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum size of the VM list, in bytes.
const MAX_VM_LIST_BYTES: usize = 16 << 20;

/// The state of a VM in the VM list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Reads the VM list at an interval while the entry process runs.
pub async fn watch_vm_list(shared: Arc<EntryState>) {
    loop {
        if let Some(states) = read_vm_list(&shared).await {
            shared
                .control_queue
                .send_event(ControlEvent::VmStates(states))
                .await;
        }
        sleep(VM_LIST_POLL_INTERVAL).await;
    }
}

async fn read_vm_list(
    shared: &EntryState,
) -> Option<HashMap<String, VmState>> {
    let uri = format!("http://{}/vms", shared.settings.vm_list_address);
    let request = Request::get(uri).body(Full::default()).ok()?;
    let answer = shared
        .platform_client
        .call(request, MAX_VM_LIST_BYTES, VM_LIST_POLL_INTERVAL)
        .await
        .ok()?;
    serde_json::from_slice(answer.body()).ok()
}
