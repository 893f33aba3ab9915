//! A TCP proxy that injects faults between its clients and one target.

mod copy;
mod server;

pub use server::{FaultProxy, LinkFaults};
