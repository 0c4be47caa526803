//! Parsing single values: spans with units, sizes, counts, addresses, choices.

mod value_parsers;

pub(crate) use value_parsers::{
    ValueFault, address, addresses, bytes, choice, count, file, fraction, hex_32, hex_digest, link_mbps, name, names,
    path, ratio, share, span, tokens,
};
