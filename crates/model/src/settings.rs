//! Settings: a flag, else its environment variable, else a default.

use std::fmt::Display;
use std::str::FromStr;

/// A setting that is missing or faulty.
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

/// One setting by its two names.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The flag without its dashes.
    pub flag: &'static str,
    /// The environment variable.
    pub variable: &'static str,
}

impl Setting {
    /// Reads a setting that has a default.
    ///
    /// # Errors
    /// [`SettingError`] when the text given is not allowed.
    pub fn read_or<T: FromStr<Err: Display>>(
        self,
        given: Option<String>,
        default: &str,
    ) -> Result<T, SettingError> {
        let text = self.text(given).unwrap_or_else(|| default.to_owned());
        self.parse(&text)
    }

    /// Reads a setting that must be given.
    ///
    /// # Errors
    /// [`SettingError`] when it is missing or not allowed.
    pub fn read<T: FromStr<Err: Display>>(self, given: Option<String>) -> Result<T, SettingError> {
        let Some(text) = self.text(given) else {
            return Err(self.error("must be given"));
        };
        self.parse(&text)
    }

    /// Reads a setting that may be left out.
    ///
    /// # Errors
    /// [`SettingError`] when the text given is not allowed.
    pub fn read_optional<T: FromStr<Err: Display>>(
        self,
        given: Option<String>,
    ) -> Result<Option<T>, SettingError> {
        self.text(given).map(|text| self.parse(&text)).transpose()
    }

    /// Refuses the setting with a reason.
    pub fn error(self, detail: impl Into<String>) -> SettingError {
        SettingError {
            flag: self.flag,
            variable: self.variable,
            detail: detail.into(),
        }
    }

    fn text(self, given: Option<String>) -> Option<String> {
        given.or_else(|| std::env::var(self.variable).ok())
    }

    fn parse<T: FromStr<Err: Display>>(self, text: &str) -> Result<T, SettingError> {
        text.parse()
            .map_err(|why: T::Err| self.error(format!("{text:?} is refused: {why}")))
    }
}

/// Names a setting by its flag and variable.
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
