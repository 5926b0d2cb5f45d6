//! The sets of derives that most types of trefoilproxy share, each under one short name.

use proc_macro::TokenStream;

const VALUE: &str = "#[derive(Debug, Clone, PartialEq, Eq)]";
const KEY: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const WIRE: &str = "#[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)] \
                    #[serde(rename_all = \"snake_case\")]";
const WIRE_KEY: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, \
                        ::serde::Serialize, ::serde::Deserialize)]";
const NAME: &str = "#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, \
                    ::serde::Serialize, ::serde::Deserialize)]";

/// An owned value: compared and cloned, not hashed.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE, item)
}

/// A small `Copy` key: hashed and ordered.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY, item)
}

/// A type that crosses the wire or the log, in `snake_case`.
#[proc_macro_attribute]
pub fn wire(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(WIRE, item)
}

/// A small `Copy` key that crosses the wire as it is.
#[proc_macro_attribute]
pub fn wire_key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(WIRE_KEY, item)
}

/// A name held as shared text: hashed, ordered and sent as it is.
#[proc_macro_attribute]
pub fn name(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(NAME, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = derives.parse().expect("a constant attribute parses");
    out.extend(item);
    out
}
