//! The settings of the administration API, read from flags and environment variables.

use std::net::SocketAddr;
use std::sync::Arc;

use model::setting;
use model::settings::SettingError;
use telemetry::logs::{LogFormat, LogLevel};

/// Minimum length of the root token, in bytes.
const ROOT_TOKEN_BYTES_MIN: usize = 16;

/// Settings of the process.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// Address for operators.
    pub address: SocketAddr,
    /// Address of the platform's API.
    pub platform_address: SocketAddr,
    /// A token that the operator `root` gets at the start, with the role admin.
    pub root_token: Option<Arc<str>>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
}

mod flags {
    xflags::xflags! {
        /// Runs the administration API. Each flag can also be set through the environment variable in brackets.
        cmd gooseberrydyke-admin {
            /// Address for operators; 127.0.0.1:9500 by default [GOOSEBERRYDYKE_ADMIN]
            optional --listen listen: String
            /// Address of the platform's API [GOOSEBERRYDYKE_PLATFORM]
            optional --platform platform: String
            /// Token of the first admin, at least 16 characters; preferably set through the variable [GOOSEBERRYDYKE_ROOT_TOKEN]
            optional --root-token root_token: String
            /// Log format, text or json; text by default [GOOSEBERRYDYKE_LOG_FORMAT]
            optional --log-format log_format: String
            /// Least severe level that is logged: error, warn, info or debug; info by default [GOOSEBERRYDYKE_LOG_LEVEL]
            optional --log-level log_level: String
        }
    }
}

/// Reads the command line and the environment; exits the process on `--help` or an
/// invalid command line.
///
/// # Errors
/// [`SettingError`] with the setting's names, the invalid value and the allowed ones.
pub fn read() -> Result<AdminSettings, SettingError> {
    let flags = flags::GooseberrydykeAdmin::from_env_or_exit();
    let root_token_setting = setting!("root-token", "GOOSEBERRYDYKE_ROOT_TOKEN");
    let root_token: Option<String> = root_token_setting.read_optional(flags.root_token)?;
    if root_token
        .as_ref()
        .is_some_and(|token| token.len() < ROOT_TOKEN_BYTES_MIN)
    {
        return Err(root_token_setting.error("expected at least 16 characters"));
    }
    Ok(AdminSettings {
        address: setting!("listen", "GOOSEBERRYDYKE_ADMIN")
            .read_or(flags.listen, "127.0.0.1:9500")?,
        platform_address: setting!("platform", "GOOSEBERRYDYKE_PLATFORM").read(flags.platform)?,
        root_token: root_token.map(Arc::from),
        log_format: setting!("log-format", "GOOSEBERRYDYKE_LOG_FORMAT")
            .read_or(flags.log_format, "text")?,
        log_level: setting!("log-level", "GOOSEBERRYDYKE_LOG_LEVEL")
            .read_or(flags.log_level, "info")?,
    })
}
