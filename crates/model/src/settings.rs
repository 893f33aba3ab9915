//! Settings from the command line: a flag, or else its environment variable, or else a
//! default.

use std::fmt::Display;
use std::str::FromStr;

/// A setting that is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    flag: &'static str,
    variable: &'static str,
    detail: String,
}

impl std::fmt::Display for SettingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "--{} ({}): {}", self.flag, self.variable, self.detail)
    }
}

impl std::error::Error for SettingError {}

/// The names of one setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The flag without the leading dashes.
    pub flag: &'static str,
    /// The environment variable that is read when the flag is absent.
    pub variable: &'static str,
}

impl Setting {
    /// Reads a setting; `default` applies when it is not given.
    ///
    /// # Errors
    /// [`SettingError`] when the value cannot be parsed.
    pub fn read_or<T: FromStr<Err: Display>>(
        self,
        flag_value: Option<String>,
        default: &str,
    ) -> Result<T, SettingError> {
        let text = self.text(flag_value).unwrap_or_else(|| default.to_owned());
        self.parse(&text)
    }

    /// Reads a required setting.
    ///
    /// # Errors
    /// [`SettingError`] when it is missing or invalid.
    pub fn read<T: FromStr<Err: Display>>(
        self,
        flag_value: Option<String>,
    ) -> Result<T, SettingError> {
        let Some(text) = self.text(flag_value) else {
            return Err(self.error("a value is required"));
        };
        self.parse(&text)
    }

    /// Reads an optional setting.
    ///
    /// # Errors
    /// [`SettingError`] when the value cannot be parsed.
    pub fn read_optional<T: FromStr<Err: Display>>(
        self,
        flag_value: Option<String>,
    ) -> Result<Option<T>, SettingError> {
        self.text(flag_value)
            .map(|text| self.parse(&text))
            .transpose()
    }

    /// Creates an error about this setting.
    pub fn error(self, detail: impl Into<String>) -> SettingError {
        SettingError {
            flag: self.flag,
            variable: self.variable,
            detail: detail.into(),
        }
    }

    fn text(self, flag_value: Option<String>) -> Option<String> {
        flag_value.or_else(|| std::env::var(self.variable).ok())
    }

    fn parse<T: FromStr<Err: Display>>(self, text: &str) -> Result<T, SettingError> {
        text.parse()
            .map_err(|error: T::Err| self.error(format!("cannot parse {text:?}: {error}")))
    }
}

/// Declares a [`Setting`](crate::settings::Setting) by its flag and environment variable.
///
/// # Examples
/// ```
/// use gooseberrydyke_model::setting;
/// let seed: u64 = setting!("seed", "GOOSEBERRYDYKE_SEED").read_or(None, "7").unwrap();
/// assert_eq!(seed, 7);
/// ```
#[macro_export]
macro_rules! setting {
    ($flag:literal, $variable:literal) => {
        $crate::settings::Setting {
            flag: $flag,
            variable: $variable,
        }
    };
}
