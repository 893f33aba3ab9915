//! The settings of the administration API.

use std::net::SocketAddr;
use std::sync::Arc;

use model::setting;
use model::settings::SettingError;
use telemetry::logs::{LogFormat, LogLevel};

/// The shortest token that is taken from the settings, in characters.
const TOKEN_LENGTH_MIN: usize = 16;

/// Everything that the process is started from.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// Where operators reach it.
    pub address: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// A token that is made an admin's at the start, under the name `root`.
    pub root_token: Option<Arc<str>>,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written.
    pub log_level: LogLevel,
}

mod flags {
    xflags::xflags! {
        /// Runs the administration API. Each flag may be given by the variable in brackets instead.
        cmd gooseberrydyke-admin {
            /// Address for operators, default 127.0.0.1:9500 [GOOSEBERRYDYKE_ADMIN]
            optional --listen listen: String
            /// Address of the platform [GOOSEBERRYDYKE_PLATFORM]
            optional --platform platform: String
            /// Token of the first admin, 16 characters or more; better given by its variable [GOOSEBERRYDYKE_ROOT_TOKEN]
            optional --root-token root_token: String
            /// Log lines as text or json, default text [GOOSEBERRYDYKE_LOG_FORMAT]
            optional --log-format log_format: String
            /// Log lines from error, warn, info or debug on, default info [GOOSEBERRYDYKE_LOG_LEVEL]
            optional --log-level log_level: String
        }
    }
}

/// Reads the command line and the environment; ends the process on `--help` or a faulty flag.
///
/// # Errors
/// [`SettingError`] names the setting, its value and what is allowed.
pub fn read() -> Result<AdminSettings, SettingError> {
    let flags = flags::GooseberrydykeAdmin::from_env_or_exit();
    let root = setting!("root-token", "GOOSEBERRYDYKE_ROOT_TOKEN");
    let root_token: Option<String> = root.read_optional(flags.root_token)?;
    if root_token
        .as_ref()
        .is_some_and(|token| token.len() < TOKEN_LENGTH_MIN)
    {
        return Err(root.error("give at least 16 characters"));
    }
    Ok(AdminSettings {
        address: setting!("listen", "GOOSEBERRYDYKE_ADMIN")
            .read_or(flags.listen, "127.0.0.1:9500")?,
        platform: setting!("platform", "GOOSEBERRYDYKE_PLATFORM").read(flags.platform)?,
        root_token: root_token.map(Arc::from),
        log_format: setting!("log-format", "GOOSEBERRYDYKE_LOG_FORMAT")
            .read_or(flags.log_format, "text")?,
        log_level: setting!("log-level", "GOOSEBERRYDYKE_LOG_LEVEL")
            .read_or(flags.log_level, "info")?,
    })
}
