//! Types shared by all packages: identifiers, quantities, errors, calls and the configuration.
//!
//! - [`ids`], [`sizes`], [`span`]: newtypes for identifiers, quantities and durations.
//! - [`error`]: the error kinds and the response that each kind maps to.
//! - [`call`]: a request and its response, independent of their encoding.
//! - [`config`]: services, upstreams, routes, workspaces, and the chunks and root that store them.
//! - [`digest`]: content hashes, which are the addresses of chunks.
//! - [`fingerprint`]: what makes two requests the same one.
//! - [`position`]: positions in the history of a source that can be restored from a copy.
//! - [`settings`]: settings from flags and environment variables.
//! - [`clock`]: wall-clock time that advances with the runtime's clock.

mod derive;

pub mod call;
pub mod clock;
pub mod config;
pub mod digest;
pub mod error;
pub mod fingerprint;
pub mod ids;
pub mod pause;
pub mod position;
pub mod settings;
pub mod sizes;
pub mod span;

pub use error::{ErrorKind, FleetError};
