//! Which statuses a final answer may have.

use http::StatusCode;

/// Whether a status is that of a final answer. Interim statuses end no
/// exchange, 101 answers an upgrade only, which no program here asks for, and
/// what is above 599 is invalid (RFC 9110, section 15).
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
