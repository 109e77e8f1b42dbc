//! The account of the bytes that callers make a process hold.
//!
//! Callers decide how many bodies arrive at once, how large they are and how
//! long they take, so each of them being small enough bounds nothing. The
//! account is the one place that sums them: bodies that arrive, bodies that
//! wait for a target or are being sent, and answers that callers have not read
//! yet. Whatever is held has a [`Charge`], which ends when the memory is freed.
//!
//! Nothing waits for room, so no two holders can wait for each other. Room is
//! given, made, or refused at once:
//!
//! * An unfinished body ([`Upload`]) may never finish, so its bytes are owned by
//!   the account and can be dropped at any time. It gives way to answers, to
//!   small bodies, and to any other body if it makes no headway. The first to
//!   go is the one that holds most for longest without headway.
//! * A whole body ([`StoredBody`]) and an answer are never dropped.
//! * A part of the capacity is for small holders only ([`SMALL_BYTES`]), so that
//!   large ones, also whole ones, leave room for ordinary callers.
//!
//! Headway is a share of what was received before, so a body that trickles counts
//! as one that has stopped.
//!
//! Bytes are kept in segments that are allocated as they are needed. A segment
//! is charged with its capacity, however many reads or chunks filled it, and a
//! stated length that isn't sent costs nothing.

use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use cowsliproad_kernel::{clock::Millis, sync::lock};

/// The most that a holder may have to count as small.
pub const SMALL_BYTES: usize = 64 << 10;

/// An upload without headway for this long gives way to any other body.
pub const STALL_TIMEOUT: Millis = Millis(200);

/// One part in so many of the capacity is for small holders only.
const SMALL_HOLDERS_SHARE: usize = 4;

/// An upload makes headway when it has received one part in so many of what it
/// had received before, and at least [`MIN_HEADWAY_BYTES`].
const HEADWAY_SHARE: usize = 16;

/// The least number of bytes that count as headway.
const MIN_HEADWAY_BYTES: usize = 16 << 10;

/// The capacity of the segments of a large body.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// The least capacity of a segment after the first one.
const MIN_SEGMENT_BYTES: usize = 256;

/// The account of a process, shared by all who hold bytes.
#[derive(Clone, Debug)]
pub struct Account {
    ledger: Arc<Mutex<Ledger>>,
}

/// What an account holds, for metrics and log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Bytes that are held.
    pub held_bytes: usize,
    /// Bytes that may be held.
    pub capacity_bytes: usize,
    /// Unfinished bodies.
    pub upload_count: usize,
}

/// Why an unfinished body can't be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UploadError {
    /// There is no room for more of the body.
    NoRoom,
    /// The body gave way to another holder.
    Evicted,
}

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

impl Account {
    /// Creates an account that holds `capacity_bytes` at most.
    pub fn new(capacity_bytes: usize) -> Account {
        let ledger = Ledger { capacity_bytes, ..Ledger::default() };
        Account { ledger: Arc::new(Mutex::new(ledger)) }
    }

    /// Starts to take in a body whose end has not arrived.
    pub fn start_upload(&self, now: Millis) -> Upload {
        let id = self.lock().add_upload(now);
        Upload { account: self.clone(), id }
    }

    /// Takes in a body that arrived whole.
    pub fn store(
        &self,
        bytes: &[u8],
        now: Millis,
    ) -> Result<StoredBody, NoRoom> {
        let mut whole = Download::new(self);
        whole.push(bytes, now)?;
        Ok(whole.finish())
    }

    /// Charges bytes that are held for a caller, and makes room for them.
    pub fn charge(&self, bytes: usize, now: Millis) -> Result<Charge, NoRoom> {
        let mut charge = Charge { account: self.clone(), bytes: 0 };
        charge.grow(bytes, now)?;
        Ok(charge)
    }

    /// What the account holds.
    pub fn usage(&self) -> Usage {
        let ledger = self.lock();
        Usage {
            held_bytes: ledger.held_bytes,
            capacity_bytes: ledger.capacity_bytes,
            upload_count: ledger.uploads.len(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }
}

/// Bytes that an account counts as held until the charge is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    bytes: usize,
}

impl Charge {
    /// Charges more bytes for the same holder.
    fn grow(&mut self, bytes: usize, now: Millis) -> Result<(), NoRoom> {
        let size = HolderSize::new(self.bytes + bytes);
        let mut ledger = self.account.lock();
        ledger.make_room(bytes, size, Yielding::Any, now)?;
        ledger.held_bytes += bytes;
        self.bytes += bytes;
        Ok(())
    }

    /// Moves a part of the charge to a charge of its own.
    fn split(&mut self, bytes: usize) -> Charge {
        self.bytes -= bytes;
        Charge { account: self.account.clone(), bytes }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.lock().held_bytes -= self.bytes;
    }
}

/// A body whose end has not arrived. Its bytes are freed when it is dropped.
#[derive(Debug)]
pub struct Upload {
    account: Account,
    id: u64,
}

impl Upload {
    /// Takes in the next bytes of the body.
    pub fn push(
        &mut self,
        bytes: &[u8],
        now: Millis,
    ) -> Result<(), UploadError> {
        self.account.lock().push(self.id, bytes, now)
    }

    /// When the body last made headway.
    pub fn last_headway(&self) -> Millis {
        self.account.lock().uploads[&self.id].headway_at
    }

    /// Completes when the body has given way. Wakes the task that polled last.
    pub fn poll_evicted(&self, context: &Context<'_>) -> Poll<()> {
        let mut ledger = self.account.lock();
        let Some(upload) = ledger.uploads.get_mut(&self.id) else {
            return Poll::Ready(());
        };
        if upload.is_evicted {
            return Poll::Ready(());
        }
        upload.waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Ends the upload: the body is whole and gives way no longer.
    pub fn finish(self) -> Result<StoredBody, UploadError> {
        let mut ledger = self.account.lock();
        let Some(upload) = ledger.uploads.get_mut(&self.id) else {
            return Err(UploadError::Evicted);
        };
        if upload.is_evicted {
            return Err(UploadError::Evicted);
        }
        let segments = mem::take(&mut upload.segments);
        drop(ledger);
        // The charge of the upload goes over to the body.
        let bytes = segments.capacity();
        let charge = Charge { account: self.account.clone(), bytes };
        Ok(StoredBody::new(segments, charge))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut ledger = self.account.lock();
        if let Some(upload) = ledger.uploads.remove(&self.id) {
            ledger.held_bytes -= upload.segments.capacity();
        }
    }
}

/// An answer that is read from a target until it is whole.
#[derive(Debug)]
pub struct Download {
    segments: Segments,
    charge: Charge,
}

impl Download {
    /// Creates an empty answer.
    pub fn new(account: &Account) -> Download {
        let charge = Charge { account: account.clone(), bytes: 0 };
        Download { segments: Segments::default(), charge }
    }

    /// Takes in the next bytes of the answer.
    pub fn push(&mut self, bytes: &[u8], now: Millis) -> Result<(), NoRoom> {
        let needed = self.segments.missing_capacity(bytes.len());
        if needed > 0 {
            self.charge.grow(needed, now)?;
        }
        self.segments.append(bytes, needed);
        Ok(())
    }

    /// The length so far.
    pub fn len(&self) -> usize {
        self.segments.length
    }

    /// Whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The whole answer.
    pub fn finish(self) -> StoredBody {
        StoredBody::new(self.segments, self.charge)
    }
}

/// A whole body or answer. The charge of each piece ends when the last
/// reference to its bytes is dropped, also where they are being sent.
#[derive(Clone, Debug, Default)]
pub struct StoredBody {
    pieces: Vec<Bytes>,
}

impl StoredBody {
    fn new(segments: Segments, mut charge: Charge) -> StoredBody {
        let pieces = segments.list.into_iter().map(|segment| {
            let charge = charge.split(segment.capacity);
            let bytes = segment.bytes;
            Bytes::from_owner(ChargedBytes { bytes, _charge: charge })
        });
        StoredBody { pieces: pieces.collect() }
    }

    /// The body in pieces, in order.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }

    /// The length of the body.
    pub fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.pieces.iter().all(Bytes::is_empty)
    }
}

/// Bytes with the charge that ends when they are freed.
struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes in the order in which they arrived, in pieces that never move.
#[derive(Debug, Default)]
struct Segments {
    list: Vec<Segment>,
    length: usize,
}

/// A piece of a body, with the capacity that was asked for.
#[derive(Debug)]
struct Segment {
    bytes: Vec<u8>,
    capacity: usize,
}

impl Segment {
    fn free_bytes(&self) -> usize {
        self.capacity - self.bytes.len()
    }
}

impl Segments {
    /// The capacity that a new segment needs so that `length` more bytes fit;
    /// 0 if they fit into the last one. The first segment is as long as the
    /// bytes, so a body that arrives at once costs its length.
    fn missing_capacity(&self, length: usize) -> usize {
        let Some(last) = self.list.last() else { return length };
        let missing = length.saturating_sub(last.free_bytes());
        if missing == 0 {
            return 0;
        }
        let usual = self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        missing.max(usual)
    }

    /// Appends bytes, in part to a new segment of `new_capacity`, which
    /// [`Segments::missing_capacity`] returned for them.
    fn append(&mut self, bytes: &[u8], new_capacity: usize) {
        self.length += bytes.len();
        let mut rest = bytes;
        if let Some(last) = self.list.last_mut() {
            let (fitting, left) =
                rest.split_at(rest.len().min(last.free_bytes()));
            last.bytes.extend_from_slice(fitting);
            rest = left;
        }
        if new_capacity > 0 {
            let mut bytes = Vec::with_capacity(new_capacity);
            bytes.extend_from_slice(rest);
            self.list.push(Segment { bytes, capacity: new_capacity });
        }
    }

    fn capacity(&self) -> usize {
        self.list.iter().map(|it| it.capacity).sum()
    }
}

/// Whether a holder may use the part of the capacity that is for small ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderSize {
    Small,
    Large,
}

impl HolderSize {
    fn new(bytes: usize) -> HolderSize {
        if bytes <= SMALL_BYTES {
            HolderSize::Small
        } else {
            HolderSize::Large
        }
    }
}

/// Which uploads give way to a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Yielding {
    /// Every upload.
    Any,
    /// Uploads other than the holder itself that are large or make no headway.
    LargeOrStalled { holder: u64 },
    /// Uploads other than the holder itself that make no headway.
    Stalled { holder: u64 },
}

/// What is held, and by which uploads.
#[derive(Debug, Default)]
struct Ledger {
    capacity_bytes: usize,
    held_bytes: usize,
    uploads: BTreeMap<u64, UnfinishedBody>,
    next_id: u64,
}

/// What the account knows of an upload.
#[derive(Debug)]
struct UnfinishedBody {
    segments: Segments,
    headway_at: Millis,
    /// The length at the last headway.
    headway_length: usize,
    is_evicted: bool,
    waker: Option<Waker>,
}

impl UnfinishedBody {
    fn stalled_for(&self, now: Millis) -> Millis {
        now.since(self.headway_at)
    }

    fn note_headway(&mut self, now: Millis) {
        let progress = self.segments.length - self.headway_length;
        let needed = self.headway_length / HEADWAY_SHARE;
        if progress >= needed.max(MIN_HEADWAY_BYTES) {
            self.headway_at = now;
            self.headway_length = self.segments.length;
        }
    }
}

impl Ledger {
    fn add_upload(&mut self, now: Millis) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let upload = UnfinishedBody {
            segments: Segments::default(),
            headway_at: now,
            headway_length: 0,
            is_evicted: false,
            waker: None,
        };
        self.uploads.insert(id, upload);
        id
    }

    fn push(
        &mut self,
        id: u64,
        bytes: &[u8],
        now: Millis,
    ) -> Result<(), UploadError> {
        let upload = self.uploads.get(&id).ok_or(UploadError::Evicted)?;
        if upload.is_evicted {
            return Err(UploadError::Evicted);
        }
        let needed = upload.segments.missing_capacity(bytes.len());
        if needed > 0 {
            let size = HolderSize::new(upload.segments.capacity() + needed);
            let yielding = match size {
                HolderSize::Small => Yielding::LargeOrStalled { holder: id },
                HolderSize::Large => Yielding::Stalled { holder: id },
            };
            self.make_room(needed, size, yielding, now)
                .map_err(|NoRoom| UploadError::NoRoom)?;
        }
        let upload = self.uploads.get_mut(&id).ok_or(UploadError::Evicted)?;
        upload.segments.append(bytes, needed);
        upload.note_headway(now);
        self.held_bytes += needed;
        Ok(())
    }

    /// Evicts uploads until there is room for `needed` more bytes. Evicts none
    /// if that would not be enough.
    fn make_room(
        &mut self,
        needed: usize,
        size: HolderSize,
        yielding: Yielding,
        now: Millis,
    ) -> Result<(), NoRoom> {
        let limit = match size {
            HolderSize::Small => self.capacity_bytes,
            HolderSize::Large => {
                self.capacity_bytes - self.capacity_bytes / SMALL_HOLDERS_SHARE
            }
        };
        let after = self.held_bytes + needed;
        if after <= limit {
            return Ok(());
        }
        let mut candidates: Vec<(u64, usize, u64)> = self
            .uploads
            .iter()
            .filter(|(id, upload)| yielding.includes(**id, upload, now))
            .map(|(id, upload)| {
                let bytes = upload.segments.capacity();
                let weight = bytes as u64 * (upload.stalled_for(now).0 + 1);
                (weight, bytes, *id)
            })
            .collect();
        let yieldable: usize = candidates.iter().map(|it| it.1).sum();
        if after - yieldable.min(after) > limit {
            return Err(NoRoom);
        }
        candidates.sort_unstable();
        while self.held_bytes + needed > limit
            && let Some((_, _, id)) = candidates.pop()
        {
            self.evict(id);
        }
        Ok(())
    }

    /// Frees the bytes of an upload and wakes its task.
    fn evict(&mut self, id: u64) {
        let Some(upload) = self.uploads.get_mut(&id) else { return };
        let segments = mem::take(&mut upload.segments);
        upload.is_evicted = true;
        self.held_bytes -= segments.capacity();
        if let Some(waker) = upload.waker.take() {
            waker.wake();
        }
    }
}

impl Yielding {
    fn includes(self, id: u64, upload: &UnfinishedBody, now: Millis) -> bool {
        let bytes = upload.segments.capacity();
        if upload.is_evicted || bytes == 0 {
            return false;
        }
        let is_stalled = upload.stalled_for(now) >= STALL_TIMEOUT;
        match self {
            Yielding::Any => true,
            Yielding::LargeOrStalled { holder } => {
                id != holder && (is_stalled || bytes > SMALL_BYTES)
            }
            Yielding::Stalled { holder } => id != holder && is_stalled,
        }
    }
}
