//! Tickets and resume tokens.
//!
//! A ticket ties a piece of non-repeatable work to one process start of one
//! agent, the only process that can say truthfully whether it ran. Any entry
//! mints one without asking anybody, since it is authenticated by a key that
//! entries and agents share. The expiry is a reading of the agent's own
//! monotonic clock, which an entry knows from heartbeats.
//!
//! A resume token has the same form and names a request whose answer an
//! agent keeps. The two are told apart by [`Purpose`], which is under the
//! authentication code.

use std::fmt;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use cowsliproad_kernel::{Name, clock::Millis, id, secret};
use serde::{Deserialize, Serialize};

/// The length of the shared key in bytes.
pub const KEY: usize = 32;

/// The length of the authentication code in bytes.
const MAC: usize = 16;

/// The longest token text that is looked at.
const MAX_TEXT: usize = 1024;

/// What a token is good for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// To run work at most once.
    Ticket,
    /// To reclaim a kept answer.
    Resume,
}

/// What a token says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ticket {
    /// What it is good for.
    #[serde(rename = "p")]
    pub purpose: Purpose,
    /// Who may use it.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The request type.
    #[serde(rename = "k")]
    pub request_type: Name,
    /// The target.
    #[serde(rename = "t")]
    pub target: Name,
    /// The agent process.
    #[serde(rename = "i")]
    pub incarnation: id::Incarnation,
    /// The request.
    #[serde(rename = "r")]
    pub request: id::Request,
    /// When it lapses, by the agent's clock.
    #[serde(rename = "e")]
    pub expiry: Millis,
}

/// A text that is not a token made with this key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forged;

/// Writes a token that only holders of the key can make.
pub fn seal(ticket: &Ticket, key: &[u8; KEY]) -> String {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(ticket, &mut bytes)
        .expect("tickets have no value that CBOR lacks");
    let code = blake3::keyed_hash(key, &bytes);
    bytes.extend_from_slice(&code.as_bytes()[..MAC]);
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Reads a token and checks that it was made with the key.
pub fn open(text: &str, key: &[u8; KEY]) -> Result<Ticket, Forged> {
    if text.len() > MAX_TEXT {
        return Err(Forged);
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Forged)?;
    let split = bytes.len().checked_sub(MAC).ok_or(Forged)?;
    let (content, code) = bytes.split_at(split);
    let right = blake3::keyed_hash(key, content);
    if !secret::constant_time_eq(code, &right.as_bytes()[..MAC]) {
        return Err(Forged);
    }
    ciborium::from_reader(content).map_err(|_| Forged)
}

impl fmt::Display for Forged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the token was not made with this key")
    }
}

impl std::error::Error for Forged {}
