//! The platform's list of live and leaving VMs.
//!
//! The list lags, so it only supplements the heartbeats of agents: a target
//! whose VM the list shows as leaving gets no new work, even while its agent
//! does not know. A list that cannot be read changes nothing.

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use tokio::time::sleep;

use crate::{Shared, control::Event};

/// The interval between two reads of the VM list, and the timeout of one read.
const POLL: Duration = Duration::from_millis(500);

/// The maximum size of the VM list, in bytes.
const MAX_LIST: usize = 16 << 20;

/// The state of a VM in the VM list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Reads the VM list at an interval while the entry process runs.
pub async fn watch(shared: Arc<Shared>) {
    loop {
        if let Some(states) = read(&shared).await {
            shared.control.tell(Event::Vms(states)).await;
        }
        sleep(POLL).await;
    }
}

async fn read(shared: &Shared) -> Option<HashMap<String, State>> {
    let uri = format!("http://{}/vms", shared.settings.vm_list);
    let request = Request::get(uri).body(Full::default()).ok()?;
    let answer = shared.client.call(request, MAX_LIST, POLL).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}
