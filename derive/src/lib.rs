//! Attributes that stand for the sets of derives that lavendergauge's types share.

use proc_macro::TokenStream;

/// Puts a derive attribute in front of an item.
fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives.parse().expect("derive attribute parses");
    output.extend(item);
    output
}

/// Derives `Clone`, `Debug`, `PartialEq` and `Eq`, for data that is compared as a whole.
#[proc_macro_attribute]
pub fn value(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Debug, PartialEq, Eq)]", item)
}

/// Derives all of `value` and `Copy`, `Hash`, `PartialOrd` and `Ord`, for small tokens.
#[proc_macro_attribute]
pub fn token(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]", item)
}

/// Derives `Clone` and `Debug`, for table rows that hold floating-point numbers or state.
#[proc_macro_attribute]
pub fn row(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Debug)]", item)
}
