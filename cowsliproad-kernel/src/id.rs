//! Random identifiers.
//!
//! All are 64 bits drawn at random by the process that mints them, which
//! needs no agreement between entries. They are always looked up together
//! with the organisation they belong to, so a collision between
//! organisations can't leak an answer.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq,
            PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Draws a new identifier.
            pub fn random() -> $name {
                $name(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<$name, Self::Err> {
                u64::from_str_radix(text, 16).map($name)
            }
        }
    };
}

id! {
    /// One caller's request, whatever the number of attempts.
    Request
}
id! {
    /// One try of a request at one target.
    Attempt
}
id! {
    /// One process start of an agent.
    Incarnation
}
id! {
    /// One operator command, kept across its resubmissions.
    Command
}
