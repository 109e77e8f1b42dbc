//! What a process uses of its VM.

use std::{
    collections::HashSet,
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use tokio::time::sleep;

use crate::callers::Crowd;

/// How often the use of the VM is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// How often a crowd is checked for whether it has come to rest.
const REST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A crowd is at rest if so many checks in a row find no change.
const QUIET_CHECKS: usize = 6;

/// Checks after which a crowd that goes on counts as at rest.
const MAX_REST_CHECKS: usize = 400;

/// The most that a process has used of its VM.
pub struct Usage {
    memory: Arc<AtomicUsize>,
    resident: Arc<AtomicUsize>,
    unread: Arc<AtomicUsize>,
    files: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
}

impl Usage {
    /// Samples a process from now on.
    pub fn watch(process_id: u32) -> Usage {
        let usage = Usage {
            memory: Arc::default(),
            resident: Arc::default(),
            unread: Arc::default(),
            files: Arc::default(),
            is_over: Arc::default(),
        };
        let (memory, files) = (usage.memory.clone(), usage.files.clone());
        let (resident, unread) =
            (usage.resident.clone(), usage.unread.clone());
        let is_over = usage.is_over.clone();
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                if let Some(now) = Sample::read(process_id) {
                    let bytes = now.resident_bytes + now.unread_bytes;
                    memory.fetch_max(bytes, Ordering::Relaxed);
                    resident.store(now.resident_bytes, Ordering::Relaxed);
                    unread.store(now.unread_bytes, Ordering::Relaxed);
                    files.fetch_max(now.open_files, Ordering::Relaxed);
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        usage
    }

    /// Bytes and open files.
    pub fn peak(&self) -> (usize, usize) {
        let memory = self.memory.load(Ordering::Relaxed);
        (memory, self.files.load(Ordering::Relaxed))
    }

    /// Resident bytes at the last sample.
    pub fn resident(&self) -> usize {
        self.resident.load(Ordering::Relaxed)
    }

    /// Waits until no caller of a crowd sends or gets anything more, and the
    /// process has read all that it reads.
    pub async fn until_at_rest(&self, crowd: &Crowd) {
        let mut before = None;
        let mut quiet = 0;
        for _ in 0..MAX_REST_CHECKS {
            sleep(REST_CHECK_INTERVAL).await;
            let now = Some((crowd.progress(), self.unread()));
            quiet = if now == before { quiet + 1 } else { 0 };
            if quiet == QUIET_CHECKS {
                return;
            }
            before = now;
        }
    }

    /// Bytes that were received and not yet read, at the last sample.
    fn unread(&self) -> usize {
        self.unread.load(Ordering::Relaxed)
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// What a process uses at a moment.
struct Sample {
    resident_bytes: usize,
    /// Bytes that were received on its connections and not yet read.
    unread_bytes: usize,
    open_files: usize,
}

impl Sample {
    /// Reads what a process uses; `None` if the process is gone.
    fn read(process_id: u32) -> Option<Sample> {
        let process = Path::new("/proc").join(process_id.to_string());
        let status = fs::read_to_string(process.join("status")).ok()?;
        let resident =
            status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kilobytes: usize =
            resident.split_whitespace().next()?.parse().ok()?;
        let files: Vec<_> = fs::read_dir(process.join("fd"))
            .ok()?
            .filter_map(|it| fs::read_link(it.ok()?.path()).ok())
            .collect();
        let sockets: HashSet<&str> = files
            .iter()
            .filter_map(|it| it.to_str()?.strip_prefix("socket:["))
            .filter_map(|it| it.strip_suffix(']'))
            .collect();
        let connections = fs::read_to_string(process.join("net/tcp")).ok()?;
        let unread = connections
            .lines()
            .filter_map(|line| unread_bytes(line, &sockets));
        Some(Sample {
            resident_bytes: kilobytes * 1_024,
            unread_bytes: unread.sum(),
            open_files: files.len(),
        })
    }
}

/// The bytes that a line of the connection table says are unread, if it is of
/// one of these sockets.
fn unread_bytes(line: &str, sockets: &HashSet<&str>) -> Option<usize> {
    const LISTENING: &str = "0A";
    let fields: Vec<&str> = line.split_whitespace().collect();
    // The queue of a listening socket counts connections.
    if *fields.get(3)? == LISTENING || !sockets.contains(fields.get(9)?) {
        return None;
    }
    let (_, received) = fields.get(4)?.split_once(':')?;
    usize::from_str_radix(received, 16).ok()
}
