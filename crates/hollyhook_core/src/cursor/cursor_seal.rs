use std::fmt;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use chacha20poly1305::aead::{Aead, KeyInit, Payload};
use chacha20poly1305::{XChaCha20Poly1305, XNonce};
use rand::RngCore;

use super::StreamCursor;
use crate::{Error, ErrorKind, Result};

const FORMAT: u8 = 1;
const NONCE_LEN: usize = 24;
const MAX_TEXT_LEN: usize = 1_024;

/// A secret key of 32 bytes, shared by all hosts that serve the same callers.
#[derive(Clone, PartialEq, Eq)]
pub struct CursorKey([u8; 32]);

impl CursorKey {
    /// Creates a key from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for CursorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CursorKey(..)")
    }
}

/// Encrypts and decrypts cursors with XChaCha20-Poly1305; the client account is authenticated as associated data.
///
/// Random nonces of 192 bits don't collide in practice, however many hosts seal cursors under one key.
pub struct CursorSeal {
    current: XChaCha20Poly1305,
    previous: Vec<XChaCha20Poly1305>,
    max_age: Duration,
}

impl CursorSeal {
    /// Creates a seal with the current key; cursors older than `max_age` are refused as stale.
    pub fn new(key: &CursorKey, max_age: Duration) -> Self {
        Self { current: XChaCha20Poly1305::new(&key.0.into()), previous: Vec::new(), max_age }
    }

    /// Adds an earlier key that is used only to open cursors.
    #[must_use]
    pub fn previous_key(mut self, key: &CursorKey) -> Self {
        self.previous.push(XChaCha20Poly1305::new(&key.0.into()));
        self
    }

    /// Encrypts a cursor for a client account and encodes it as text.
    ///
    /// # Panics
    ///
    /// If the cipher rejects a message of under a kilobyte, which does not happen.
    pub fn seal(&self, account: &str, cursor: &StreamCursor, rng: &mut impl RngCore) -> String {
        let mut nonce = [0; NONCE_LEN];
        rng.fill_bytes(&mut nonce);
        let plain = cursor.encode();
        let payload = Payload { msg: &plain, aad: account.as_bytes() };
        let sealed = self.current.encrypt(XNonce::from_slice(&nonce), payload).expect("cursors can be encrypted");
        let mut bytes = Vec::with_capacity(1 + NONCE_LEN + sealed.len());
        bytes.push(FORMAT);
        bytes.extend_from_slice(&nonce);
        bytes.extend_from_slice(&sealed);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes and decrypts a sealed cursor.
    ///
    /// # Errors
    ///
    /// `CursorInvalid` if the cursor is forged, altered, of another account or of an unknown key; the error is the same
    /// in all these cases, so that it reveals nothing about other accounts. `CursorStale` if the cursor is genuine but
    /// older than the maximum age.
    pub fn open(&self, account: &str, text: &str, now_unix: u64) -> Result<StreamCursor> {
        let cursor = self.decrypt(account, text).ok_or_else(refusal)?;
        if now_unix.saturating_sub(cursor.made_at) > self.max_age.as_secs() {
            let limit = self.max_age.as_secs();
            let message = format!("the cursor is older than {limit} s; start the request again without it");
            return Err(Error::new(ErrorKind::CursorStale, message).param("Last-Event-ID"));
        }
        Ok(cursor)
    }

    fn decrypt(&self, account: &str, text: &str) -> Option<StreamCursor> {
        if text.len() > MAX_TEXT_LEN {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (format, rest) = bytes.split_first()?;
        let (nonce, sealed) = rest.split_first_chunk::<NONCE_LEN>()?;
        if *format != FORMAT {
            return None;
        }
        let nonce = XNonce::from_slice(nonce);
        let mut keys = std::iter::once(&self.current).chain(&self.previous);
        let open = |key: &XChaCha20Poly1305| key.decrypt(nonce, Payload { msg: sealed, aad: account.as_bytes() }).ok();
        let plain = keys.find_map(open)?;
        StreamCursor::decode(&plain)
    }
}

impl fmt::Debug for CursorSeal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CursorSeal").field("max_age", &self.max_age).finish_non_exhaustive()
    }
}

fn refusal() -> Error {
    let message = "the cursor was not made by this service for this client account; \
                   send the last `id` of the stream unchanged, with the key that started it";
    Error::new(ErrorKind::CursorInvalid, message).param("Last-Event-ID")
}
