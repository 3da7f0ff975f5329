//! The macro that declares plain data types.

/// Declares a plain data type with the derives that most types share.
///
/// Every message, declaration and answer can thus be logged, compared and
/// serialised. Enum variants are serialised in kebab case.
#[macro_export]
macro_rules! record {
    ($($(#[$meta:meta])* pub struct $name:ident { $($body:tt)* })+) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            pub struct $name { $($body)* }
        )+
    };
    ($($(#[$meta:meta])* pub enum $name:ident { $($body:tt)* })+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            #[serde(rename_all = "kebab-case")]
            pub enum $name { $($body)* }
        )+
    };
}
