//! Datagrams under the fleet's key: a message authentication code (HMAC with SHA-256, cut to 16 bytes) before the words.
//!
//! Promised: what was not written under the key is told apart and changes nothing. Not promised: secrecy, or that a datagram
//! is not repeated; what it says must bear that.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The first byte: the form of all that follows.
const FORM: u8 = 1;
/// Of the code so many bytes are sent.
const TAG: usize = 16;
/// A key has so many bytes at least.
const KEY: usize = 16;
/// No datagram is longer.
pub const LONGEST: usize = 1_400;
/// What a seal adds.
pub const ADDED: usize = 1 + TAG;

/// The fleet's key.
#[derive(Clone)]
pub struct Seal(Hmac<Sha256>);

impl Seal {
    /// A key from a file that nobody else may read.
    pub fn read(path: &Path) -> Result<Seal, String> {
        let said = |what: String| format!("the group's key {}: {what}", path.display());
        let meta = std::fs::metadata(path).map_err(|e| said(format!("cannot be read: {e}")))?;
        if meta.permissions().mode() & 0o077 != 0 {
            return Err(said("others may read it: set its mode to 0600".into()));
        }
        let key = std::fs::read(path).map_err(|e| said(format!("cannot be read: {e}")))?;
        Seal::new(key.trim_ascii())
            .ok_or_else(|| said(format!("is shorter than {KEY} bytes: write a longer one")))
    }

    /// A key.
    pub fn new(key: &[u8]) -> Option<Seal> {
        let mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        (key.len() >= KEY).then_some(Seal(mac))
    }

    /// Words as a datagram; none where they are too long for one.
    pub fn seal(&self, words: &[u8]) -> Option<Vec<u8>> {
        let mut mac = self.0.clone();
        mac.update(&[FORM]);
        mac.update(words);
        let tag = mac.finalize().into_bytes();
        let mut datagram = vec![FORM];
        datagram.extend_from_slice(&tag[..TAG]);
        datagram.extend_from_slice(words);
        (datagram.len() <= LONGEST).then_some(datagram)
    }

    /// The words of a datagram that was written under this key.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (&form, rest) = datagram.split_first()?;
        let (tag, words) = rest.split_at_checked(TAG)?;
        let mut mac = self.0.clone();
        mac.update(&[form]);
        mac.update(words);
        (form == FORM && mac.verify_truncated_left(tag).is_ok()).then_some(words)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a datagram that was changed or made up, and against a panic on one.
        #[test]
        fn only_what_was_sealed_under_the_key_opens(
            words in prop::collection::vec(any::<u8>(), 0..300), at in any::<prop::sample::Index>(), bit in 0u8..8,
        ) {
            let (seal, other) = (Seal::new(&[7; 32]).unwrap(), Seal::new(&[8; 32]).unwrap());
            let mut datagram = seal.seal(&words).unwrap();
            prop_assert_eq!(seal.open(&datagram), Some(&words[..]));
            prop_assert_eq!(other.open(&datagram), None);
            prop_assert_eq!(seal.open(&words), None);
            let i = at.index(datagram.len());
            datagram[i] ^= 1 << bit;
            prop_assert_eq!(seal.open(&datagram), None);
        }
    }

    #[test]
    fn a_key_must_be_long_and_a_datagram_short() {
        assert!(Seal::new(&[1; 15]).is_none());
        let seal = Seal::new(&[1; 16]).unwrap();
        assert!(seal.seal(&[0; LONGEST - ADDED]).is_some() && seal.seal(&[0; LONGEST - ADDED + 1]).is_none());
    }
}
