//! A proxy that injects faults between two ends of a TCP connection.

mod pump;
mod server;

pub use server::{FaultProxy, LinkFaults};
