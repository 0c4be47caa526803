use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The tokens of one generation in order, packed into one string.
///
/// Packed because a long generation has thousands of tokens: each costs 4 bytes besides its text.
///
/// ```
/// use hollyhook_core::TokenLog;
///
/// let mut log = TokenLog::default();
/// log.push("Dear ");
/// log.push("parent");
/// assert_eq!(log.iter().collect::<Vec<_>>(), ["Dear ", "parent"]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenLog {
    text: String,
    ends: Vec<u32>,
}

impl TokenLog {
    /// Appends the next token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    /// The number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether the log holds no token.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The concatenated text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The tokens in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(&self.ends).map(|(start, end)| &self.text[start as usize..*end as usize])
    }

    /// Removes all tokens.
    pub fn clear(&mut self) {
        self.text.clear();
        self.ends.clear();
    }
}

/// A digest of the first tokens of a generation; a cursor carries it to verify that a replay produces the same tokens.
///
/// Each token is chained as `SHA-256(previous ‖ length ‖ token)`, truncated to 128 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixDigest([u8; 16]);

impl PrefixDigest {
    /// Creates a digest from its bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// The bytes of the digest.
    pub const fn bytes(self) -> [u8; 16] {
        self.0
    }

    /// The digest of the tokens so far and one more token.
    #[must_use]
    pub fn chain(self, token: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(self.0);
        hash.update((token.len() as u32).to_be_bytes());
        hash.update(token);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }
}
