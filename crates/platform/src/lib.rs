//! Client of the platform's object API and VM list.
//!
//! - [`names`]: names of the objects that the fleet stores.
//! - [`object`]: objects, versions, write conditions and the results of lists and watches.
//! - [`channel`]: the task that owns the connections, and its handle.
//! - [`client`]: the operations of the object API.
//! - [`config_store`]: the configuration, stored as objects.
//! - [`records`]: ejection records and claim segments, stored as objects.
//! - [`vm`]: the VM list.
//! - [`wire`]: the encoding of requests and responses; no other module knows it.

pub mod channel;
pub mod client;
pub mod config_store;
pub mod names;
pub mod object;
pub mod records;
pub mod vm;
pub mod wire;

pub use channel::PlatformChannel;
pub use client::PlatformClient;
