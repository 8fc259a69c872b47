//! Attributes that expand to the sets of derives common in lavendergauge's types.

use proc_macro::TokenStream;

/// Prepends a derive attribute to an item.
fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives.parse().expect("derive attribute parses");
    output.extend(item);
    output
}

/// Derives `Clone`, `Debug`, `PartialEq` and `Eq`, for data compared by value.
#[proc_macro_attribute]
pub fn value(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Debug, PartialEq, Eq)]", item)
}

/// Derives all of [`macro@value`] and `Copy`, `Hash`, `PartialOrd` and `Ord`, for small types used
/// as keys.
#[proc_macro_attribute]
pub fn token(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]", item)
}

/// Derives `Clone` and `Debug`, for types that cannot be `Eq` or are never compared, such as
/// table rows with floating-point numbers.
#[proc_macro_attribute]
pub fn row(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Debug)]", item)
}
