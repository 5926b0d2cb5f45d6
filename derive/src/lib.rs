//! Attribute macros for the sets of derives that most types of trefoilproxy use.

use proc_macro::TokenStream;

const VALUE: &str = "#[derive(Debug, Clone, PartialEq, Eq)]";
const KEY: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const WIRE: &str = "#[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)] \
                    #[serde(rename_all = \"snake_case\")]";
const WIRE_KEY: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, \
                        ::serde::Serialize, ::serde::Deserialize)]";
const NAME: &str = "#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, \
                    ::serde::Serialize, ::serde::Deserialize)]";

/// Derives for a value that is compared and cloned but not hashed.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE, item)
}

/// Derives for a small `Copy` key that is hashed and ordered.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY, item)
}

/// Derives for a type that is serialized in messages or log records, with names in `snake_case`.
#[proc_macro_attribute]
pub fn wire(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(WIRE, item)
}

/// Derives for a small `Copy` key that is also serialized, without renaming.
#[proc_macro_attribute]
pub fn wire_key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(WIRE_KEY, item)
}

/// Derives for a name that is cloned, hashed, ordered and serialized, without renaming.
#[proc_macro_attribute]
pub fn name(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(NAME, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = derives.parse().expect("the constant attribute is valid Rust");
    tokens.extend(item);
    tokens
}
