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

/// A secret of 32 bytes that all hosts of a user share.
#[derive(Clone, PartialEq, Eq)]
pub struct CursorKey([u8; 32]);

impl CursorKey {
    /// A key from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for CursorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CursorKey(..)")
    }
}

/// Seals and opens cursors with XChaCha20-Poly1305, bound to the client account.
///
/// The 192-bit random nonces allow any number of cursors by any number of hosts under one key.
pub struct CursorSeal {
    current: XChaCha20Poly1305,
    previous: Vec<XChaCha20Poly1305>,
    max_age: Duration,
}

impl CursorSeal {
    /// A seal with the current key; cursors older than `max_age` are refused as stale.
    pub fn new(key: &CursorKey, max_age: Duration) -> Self {
        Self { current: XChaCha20Poly1305::new(&key.0.into()), previous: Vec::new(), max_age }
    }

    /// The same seal that also opens cursors of an earlier key.
    #[must_use]
    pub fn previous_key(mut self, key: &CursorKey) -> Self {
        self.previous.push(XChaCha20Poly1305::new(&key.0.into()));
        self
    }

    /// The sealed text of a cursor for that client account.
    ///
    /// # Panics
    ///
    /// If the cipher refuses a message of under a kilobyte, which it never does.
    pub fn seal(&self, account: &str, cursor: &StreamCursor, rng: &mut impl RngCore) -> String {
        let mut nonce = [0; NONCE_LEN];
        rng.fill_bytes(&mut nonce);
        let plain = cursor.encode();
        let payload = Payload { msg: &plain, aad: account.as_bytes() };
        let sealed = self.current.encrypt(XNonce::from_slice(&nonce), payload).expect("a short message is sealed");
        let mut bytes = Vec::with_capacity(1 + NONCE_LEN + sealed.len());
        bytes.push(FORMAT);
        bytes.extend_from_slice(&nonce);
        bytes.extend_from_slice(&sealed);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The cursor in a sealed text.
    ///
    /// # Errors
    ///
    /// `CursorInvalid` if it is forged, altered, of another account or of an unknown key, all alike, so that nothing
    /// of another account shows; `CursorStale` if it is genuine but older than the limit.
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
