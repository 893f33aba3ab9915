//! The platform's stand-in.

mod server;
mod store;

pub use server::PlatformStandin;
pub use store::PlatformFaults;
