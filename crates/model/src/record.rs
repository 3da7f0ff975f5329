//! The derive sets that most types of the project share.

/// Declares a plain data type with the common derives.
///
/// Messages, declarations and answers all want the same traits; one macro keeps
/// the sets equal, so that any record can be logged, compared and sent.
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
