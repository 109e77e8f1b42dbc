//! Tickets and resume tokens.
//!
//! A ticket binds a piece of non-repeatable work to one process start of one
//! agent, the only process that can say reliably whether the work ran. Any
//! entry process issues tickets without contacting an agent, because a ticket
//! is authenticated with a key that entry processes and agents share. The
//! expiry is a time on the agent's own monotonic clock, which entry processes
//! know from its heartbeats.
//!
//! A resume token has the same format and identifies a request whose answer an
//! agent keeps. [`TokenPurpose`] distinguishes tickets from resume tokens and
//! is covered by the authentication code.

use std::fmt;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use cowsliproad_kernel::{Name, clock::Millis, id, secret};
use serde::{Deserialize, Serialize};

/// The length of the key that entry processes and agents share, in bytes.
pub const TICKET_KEY_BYTES: usize = 32;

/// The length of a token's authentication code, in bytes.
const MAC_BYTES: usize = 16;

/// The longest token that is decoded, in bytes of its text.
const MAX_TOKEN_BYTES: usize = 1024;

/// What a token authorises its holder to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TokenPurpose {
    /// The token authorises running its work at most once.
    Ticket,
    /// The token authorises fetching the kept answer of a request.
    Resume,
}

/// The content of a ticket or resume token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// Whether the token is a ticket or a resume token.
    #[serde(rename = "p")]
    pub purpose: TokenPurpose,
    /// The organisation that may use the token.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The service that the token's request is for.
    #[serde(rename = "s")]
    pub service: Name,
    /// The type of the token's request.
    #[serde(rename = "k")]
    pub request_type: Name,
    /// The target that the token is bound to.
    #[serde(rename = "t")]
    pub target: Name,
    /// The agent process that the token is bound to.
    #[serde(rename = "i")]
    pub incarnation: id::Incarnation,
    /// The id of the token's request.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// When the token expires, by the agent's clock.
    #[serde(rename = "e")]
    pub expiry: Millis,
}

/// The error for a text that is not a token signed with the expected key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidToken;

/// Encodes a ticket as text, with an authentication code that only holders of
/// the key can compute.
pub fn sign(ticket: &Ticket, key: &[u8; TICKET_KEY_BYTES]) -> String {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(ticket, &mut bytes)
        .expect("every ticket can be encoded as CBOR");
    let mac = blake3::keyed_hash(key, &bytes);
    bytes.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes a token after checking that it was signed with the key.
pub fn verify(
    text: &str,
    key: &[u8; TICKET_KEY_BYTES],
) -> Result<Ticket, InvalidToken> {
    if text.len() > MAX_TOKEN_BYTES {
        return Err(InvalidToken);
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| InvalidToken)?;
    let split = bytes.len().checked_sub(MAC_BYTES).ok_or(InvalidToken)?;
    let (content, mac) = bytes.split_at(split);
    let expected_mac = blake3::keyed_hash(key, content);
    if !secret::constant_time_eq(mac, &expected_mac.as_bytes()[..MAC_BYTES]) {
        return Err(InvalidToken);
    }
    ciborium::from_reader(content).map_err(|_| InvalidToken)
}

impl fmt::Display for InvalidToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the token was not signed with this key")
    }
}

impl std::error::Error for InvalidToken {}
