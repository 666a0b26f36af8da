//! Macros for plain data types, text identifiers and number newtypes.

/// Declares plain data types, with the derives that they have in common.
///
/// # Examples
///
/// ```
/// oleander_core::value! {
///     /// A point on a grid.
///     pub struct Point {
///         /// Column.
///         pub x: u32,
///     }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 }.clone());
/// ```
#[macro_export]
macro_rules! value {
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
}

/// Declares text identifiers that are checked against a maximum length and a character set.
///
/// ASCII letters, digits, `-`, `_`, `.` and `:` are allowed; the first must be a letter or digit.
#[macro_export]
macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident, $max:expr;)+) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(String);

            impl $name {
                /// Maximum length, in bytes.
                pub const MAX_BYTES: usize = $max;

                /// The identifier as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl TryFrom<String> for $name {
                type Error = $crate::ids::ParseIdError;

                fn try_from(text: String) -> Result<Self, Self::Error> {
                    $crate::ids::check_id(&text, Self::MAX_BYTES)?;
                    Ok(Self(text))
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::ids::ParseIdError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    Self::try_from(text.to_owned())
                }
            }

            impl From<$name> for String {
                fn from(id: $name) -> Self {
                    id.0
                }
            }

            impl AsRef<str> for $name {
                fn as_ref(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )+
    };
}

/// Declares number newtypes with `Display` and `FromStr`, printed with their unit.
///
/// The unit may be left out when a number is parsed.
#[macro_export]
macro_rules! number {
    ($($(#[$meta:meta])* $name:ident($inner:ty), $unit:literal;)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{}{}", self.0, $unit)
                }
            }

            impl std::str::FromStr for $name {
                type Err = $crate::units::ParseUnitError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    let digits = text.strip_suffix($unit).unwrap_or(text);
                    digits.parse().map(Self).map_err(|_| $crate::units::ParseUnitError {
                        text: text.to_owned(),
                        unit: $unit,
                    })
                }
            }
        )+
    };
}
