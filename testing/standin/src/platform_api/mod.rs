//! A stand-in of the platform that keeps its objects in memory.

mod server;
mod store;

pub use server::PlatformStandin;
pub use store::PlatformFaults;
