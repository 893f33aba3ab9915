//! Macros that declare data types with their common traits.

/// Derives `Debug`, `Clone`, `PartialEq` and serde for plain data types.
#[macro_export]
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares an enum whose variants each have a text form, used by `Display`, `FromStr` and
/// serde alike.
#[macro_export]
macro_rules! text_enum {
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($(#[$case_meta:meta])* $case:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        $vis enum $name {
            $($(#[$case_meta])* #[serde(rename = $text)] $case,)+
        }

        impl $name {
            /// All variants, in the order of declaration.
            $vis const ALL: &'static [Self] = &[$(Self::$case),+];

            /// The text form of the variant.
            $vis const fn as_str(self) -> &'static str {
                match self { $(Self::$case => $text),+ }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::error::ValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($text => Ok(Self::$case),)+
                    _ => Err($crate::error::ValueError::new(text, concat!("one of:" $(, " ", $text)+))),
                }
            }
        }
    };
}

/// Declares a text identifier: a newtype over `Arc<str>`, checked by `FromStr`.
#[macro_export]
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::error::ValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::ids::check_id(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::error::ValueError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

/// Declares a newtype over an integer whose range `FromStr` checks. The literal describes
/// the range in error messages.
#[macro_export]
macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident, $inner:ty, $low:expr, $high:expr, $allowed:literal) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number without checking its range.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// The wrapped number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::error::ValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse::<$inner>()
                    .ok()
                    .filter(|value| ($low..=$high).contains(value))
                    .map(Self)
                    .ok_or_else(|| $crate::error::ValueError::new(text, $allowed))
            }
        }
    };
}
