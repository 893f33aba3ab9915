//! The process of the administration API. It is stateless: everything is stored on the
//! platform.
//!
//! - [`settings`]: the settings, from flags and environment variables.
//! - [`server`]: starts and stops the API.

pub mod server;
pub mod settings;

pub use server::AdminProcess;
pub use settings::AdminSettings;
