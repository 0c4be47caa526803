use std::fmt::Write as _;

use hollyhook_core::{AccountName, Name};
use sha2::{Digest, Sha256};

use crate::file::SectionReader;
use crate::value;

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountSettings {
    /// Its name.
    pub name: AccountName,
    /// Digests of its API keys, see [`key_digest`].
    pub keys: Vec<Name>,
    /// Its configured share of the engines, relative to other accounts.
    pub weight: u64,
}

/// Returns the digest under which the settings list an API key: its SHA-256 in lower-case hexadecimal.
///
/// ```
/// assert!(hollyhook_settings::key_digest("hh-example").starts_with("d49387b8"));
/// ```
pub fn key_digest(key: &str) -> Name {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key) {
        let _infallible = write!(text, "{byte:02x}");
    }
    text.into()
}

impl AccountSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.name();
        let key = reader.required("key_sha256", value::hex_digest);
        let previous = reader.optional("previous_key_sha256", value::hex_digest);
        let weight = reader.with_default("weight", 1, value::count(1, 1_000));
        reader.finish();
        Some(Self { name, keys: std::iter::once(key?).chain(previous).collect(), weight })
    }
}
