//! Parsers of single values: durations with units, sizes, counts, addresses and choices.

mod value_parsers;

pub(crate) use value_parsers::{
    ValueError, address, addresses, bytes, call_rate, choice, count, duration, file_path, fraction, hex_32, hex_digest,
    link_mbps, name, names, path_prefix, percentage, ratio, tokens,
};
