//! Bodies of requests and answers, read within the account of a process.
//!
//! Every body that a caller sends is read by [`read_body`], and every answer
//! that is kept for a caller by [`read_answer`], so the account knows of all
//! of them. [`discard_body`] reads on after a refusal: closing a connection
//! with unread bytes resets it, and the caller would lose the refusal.

use std::{
    collections::VecDeque,
    convert::Infallible,
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use cowsliproad_admission::memory::{
    Account, Download, NoRoom, StoredBody, UploadError,
};
use cowsliproad_kernel::clock::Millis;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::timer::{timeout, timeout_at};

/// The most that is read of a body after it was refused.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// For how long a refused body is read on.
const DISCARD_TIMEOUT: Millis = Millis(1_000);

/// What a caller's body may cost and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    max_bytes: usize,
    deadline: Millis,
    headway_timeout: Option<Millis>,
}

impl BodyLimits {
    /// Limits of a body of at most `max_bytes` that arrives by `deadline`.
    pub fn new(max_bytes: usize, deadline: Millis) -> BodyLimits {
        BodyLimits { max_bytes, deadline, headway_timeout: None }
    }

    /// Sets how long the body may make no headway.
    pub fn with_headway_timeout(self, headway_timeout: Millis) -> BodyLimits {
        BodyLimits { headway_timeout: Some(headway_timeout), ..self }
    }
}

/// Why a body could not be read. In each case the request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time, or made no headway.
    TimedOut,
    /// The connection broke before the body was complete.
    Incomplete,
    /// The process has no memory for the body.
    NoRoom,
    /// The body made room for another one, or its connection did.
    Evicted,
}

impl BodyError {
    /// The name of the error in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            BodyError::TooLarge => "too_large",
            BodyError::TimedOut => "too_slow",
            BodyError::Incomplete => "cut",
            BodyError::NoRoom => "no_room",
            BodyError::Evicted => "evicted",
        }
    }
}

impl From<UploadError> for BodyError {
    fn from(error: UploadError) -> BodyError {
        match error {
            UploadError::NoRoom => BodyError::NoRoom,
            UploadError::Evicted => BodyError::Evicted,
        }
    }
}

impl From<NoRoom> for BodyError {
    fn from(NoRoom: NoRoom) -> BodyError {
        BodyError::NoRoom
    }
}

/// Reads a caller's body. `on_headway` gets the time of each headway.
pub async fn read_body<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    account: &Account,
    limits: BodyLimits,
    on_headway: impl Fn(Millis),
) -> Result<StoredBody, BodyError> {
    let stated_bytes = body.size_hint().lower();
    if stated_bytes > limits.max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let Some(first) =
        read_piece(body, limits.give_up_at(Millis::now())).await?
    else {
        return Ok(StoredBody::default());
    };
    let now = Millis::now();
    if first.len() > limits.max_bytes {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(account.store(&first, now)?);
    }
    let mut upload = account.start_upload(now);
    upload.push(&first, now)?;
    let mut length = first.len();
    drop(first);
    loop {
        let headway_at = upload.last_headway();
        on_headway(headway_at);
        let piece = tokio::select! {
            piece = read_piece(body, limits.give_up_at(headway_at)) => piece?,
            () = poll_fn(|context| upload.poll_evicted(context)) => {
                return Err(BodyError::Evicted);
            }
        };
        let Some(piece) = piece else { return Ok(upload.finish()?) };
        length += piece.len();
        if length > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        upload.push(&piece, Millis::now())?;
    }
}

impl BodyLimits {
    fn give_up_at(&self, headway_at: Millis) -> Millis {
        let stalled_at = self.headway_timeout.map(|it| headway_at + it);
        stalled_at.map_or(self.deadline, |it| it.min(self.deadline))
    }
}

/// Waits for the next bytes of a body; `None` at its end.
async fn read_piece<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    give_up_at: Millis,
) -> Result<Option<Bytes>, BodyError> {
    loop {
        let frame = timeout_at(give_up_at, body.frame()).await;
        match frame {
            Err(_) => return Err(BodyError::TimedOut),
            Ok(None) => return Ok(None),
            Ok(Some(Err(_))) => return Err(BodyError::Incomplete),
            // Trailers are ignored.
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}

/// Why a target's answer could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerError {
    /// The answer exceeds the size limit, or its connection broke.
    Cut,
    /// The process has no memory for the answer.
    NoRoom,
}

/// Reads a target's whole answer of at most `max_bytes`.
pub async fn read_answer<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    account: &Account,
    max_bytes: usize,
) -> Result<StoredBody, AnswerError> {
    let mut answer = Download::new(account);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AnswerError::Cut)?;
        let Ok(piece) = frame.into_data() else { continue };
        if answer.len() + piece.len() > max_bytes {
            return Err(AnswerError::Cut);
        }
        answer
            .push(&piece, Millis::now())
            .map_err(|NoRoom| AnswerError::NoRoom)?;
    }
    Ok(answer.finish())
}

/// Reads the rest of a body that was refused, within bounds. A body that is
/// longer is left unread, which closes its connection.
pub async fn discard_body<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let discard = async {
        let mut length = 0;
        while length <= MAX_DISCARDED_BYTES
            && let Some(Ok(frame)) = body.frame().await
        {
            length += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    // The bounds are for those who send on, so either may end it.
    let _ = timeout(DISCARD_TIMEOUT.duration(), discard).await;
}

/// A whole body that is sent in pieces. Its length is known.
#[derive(Clone, Debug, Default)]
pub struct Pieces {
    left: VecDeque<Bytes>,
    left_bytes: usize,
}

impl Pieces {
    /// Creates a body of the bytes of a stored one.
    pub fn new(stored: &StoredBody) -> Pieces {
        let pieces = stored.pieces().iter().filter(|it| !it.is_empty());
        Pieces { left: pieces.cloned().collect(), left_bytes: stored.len() }
    }
}

impl From<&'static str> for Pieces {
    fn from(text: &'static str) -> Pieces {
        let bytes = Bytes::from_static(text.as_bytes());
        Pieces { left_bytes: bytes.len(), left: VecDeque::from([bytes]) }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.left.pop_front();
        self.left_bytes -= piece.as_ref().map_or(0, Bytes::len);
        Poll::Ready(piece.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes as u64)
    }
}
