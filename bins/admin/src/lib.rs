//! The administration API's process: stateless, all it keeps is in the platform.

pub mod server;
pub mod settings;

pub use server::AdminProcess;
pub use settings::AdminSettings;
