//! Attributes that add the project's common sets of derives to a type.
//!
//! Each attribute stands for one set, so that types of the same kind always
//! carry the same traits.

use proc_macro::TokenStream;

/// A small `Copy` key or tag: comparable, ordered and hashable.
#[proc_macro_attribute]
pub fn key(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// A plain value that is cloned and compared.
#[proc_macro_attribute]
pub fn value(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// A value that is also read from or written to a serialised form by serde.
#[proc_macro_attribute]
pub fn record(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize",
        item,
    )
}

fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("a list of traits is valid Rust");
    output.extend(item);
    output
}
