//! Authenticates datagrams with the group's key: a message authentication code (HMAC with SHA-256, truncated to 16 bytes)
//! precedes the payload.
//!
//! Guarantees that a datagram which was not written under the key is rejected. Does not guarantee secrecy, nor that a datagram
//! is not replayed: payloads must tolerate repetition.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// First byte of a datagram: the version of the format of the rest.
const FORMAT_VERSION: u8 = 1;
/// Number of bytes of the authentication code that are sent.
const TAG_BYTES: usize = 16;
/// Minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum length of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Number of bytes that sealing adds to a payload.
pub const SEAL_OVERHEAD: usize = 1 + TAG_BYTES;

/// The secret key that all members of the group share.
#[derive(Clone)]
pub struct GroupKey(Hmac<Sha256>);

impl GroupKey {
    /// Reads the key from a file, which must not be accessible to other users.
    pub fn read(path: &Path) -> Result<GroupKey, String> {
        let error = |what: String| format!("the group's key {}: {what}", path.display());
        let metadata = std::fs::metadata(path).map_err(|e| error(format!("cannot be read: {e}")))?;
        if metadata.permissions().mode() & 0o077 != 0 {
            return Err(error("other users can access it: set its mode to 0600".into()));
        }
        let key = std::fs::read(path).map_err(|e| error(format!("cannot be read: {e}")))?;
        GroupKey::new(key.trim_ascii())
            .ok_or_else(|| error(format!("is shorter than {MIN_KEY_BYTES} bytes: use a longer one")))
    }

    /// Creates a key from its bytes; `None` if they are too few.
    pub fn new(key: &[u8]) -> Option<GroupKey> {
        let mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        (key.len() >= MIN_KEY_BYTES).then_some(GroupKey(mac))
    }

    /// Returns the payload as an authenticated datagram; `None` if it is too long for one.
    pub fn seal(&self, payload: &[u8]) -> Option<Vec<u8>> {
        let mut mac = self.0.clone();
        mac.update(&[FORMAT_VERSION]);
        mac.update(payload);
        let tag = mac.finalize().into_bytes();
        let mut datagram = vec![FORMAT_VERSION];
        datagram.extend_from_slice(&tag[..TAG_BYTES]);
        datagram.extend_from_slice(payload);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// Returns the payload of a datagram that was written under this key; `None` for any other.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (&version, rest) = datagram.split_first()?;
        let (tag, payload) = rest.split_at_checked(TAG_BYTES)?;
        let mut mac = self.0.clone();
        mac.update(&[version]);
        mac.update(payload);
        (version == FORMAT_VERSION && mac.verify_truncated_left(tag).is_ok()).then_some(payload)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against accepting a modified or forged datagram, and against a panic on one.
        #[test]
        fn only_datagrams_sealed_under_the_key_are_opened(
            payload in prop::collection::vec(any::<u8>(), 0..300), at in any::<prop::sample::Index>(), bit in 0u8..8,
        ) {
            let (key, other_key) = (GroupKey::new(&[7; 32]).unwrap(), GroupKey::new(&[8; 32]).unwrap());
            let mut datagram = key.seal(&payload).unwrap();
            prop_assert_eq!(key.open(&datagram), Some(&payload[..]));
            prop_assert_eq!(other_key.open(&datagram), None);
            prop_assert_eq!(key.open(&payload), None);
            let i = at.index(datagram.len());
            datagram[i] ^= 1 << bit;
            prop_assert_eq!(key.open(&datagram), None);
        }
    }

    #[test]
    fn a_short_key_and_a_too_long_payload_are_rejected() {
        assert!(GroupKey::new(&[1; 15]).is_none());
        let key = GroupKey::new(&[1; 16]).unwrap();
        assert!(
            key.seal(&[0; MAX_DATAGRAM_BYTES - SEAL_OVERHEAD]).is_some()
                && key.seal(&[0; MAX_DATAGRAM_BYTES - SEAL_OVERHEAD + 1]).is_none()
        );
    }
}
