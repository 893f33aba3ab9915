//! Shared types of the fleet: identifiers, quantities, errors, calls and the configuration.
//!
//! - [`ids`], [`sizes`], [`span`]: newtypes with `Display` and `FromStr`.
//! - [`error`]: the closed list of error kinds and the table from kind to answer.
//! - [`call`]: a request and its answer, free of any wire encoding.
//! - [`config`]: services, upstreams, routes, workspaces, chunks and the root.
//! - [`digest`]: content addresses.
//! - [`settings`]: settings by flag and environment.
//! - [`clock`]: wall-clock time derived from the runtime's clock.

mod derive;

pub mod call;
pub mod clock;
pub mod config;
pub mod digest;
pub mod error;
pub mod ids;
pub mod settings;
pub mod sizes;
pub mod span;

pub use error::{ErrorKind, FleetError};
