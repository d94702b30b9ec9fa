//! What a process that ends hands to the one after it: the connections that stand, as the new one is to book them
//! until their clients come back.
//!
//! Promised: what is read is whole, of this version, of this balancer, and was written just now; else an [`HandoverError`]
//! says why it is not. Not promised: that there is anything to read.

use crate::api::{HostId, Micros};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

/// In front of it, with the version: another version's is not read.
const MAGIC: &str = "oakdeal-handover-1";
/// The most that is read: some ten thousand connections.
pub const MAX_BYTES: usize = 4 << 20;
/// Older than this it is from before: the platform ends the old process within seconds of the new one's yes.
const MAX_AGE: Micros = 10_000_000;

/// A connection that stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedOverConnection {
    /// Its class, by name.
    pub class: String,
    /// The team that its client named.
    pub team: Option<String>,
    /// The client key.
    pub key: Option<String>,
    /// The group key.
    pub group: Option<String>,
    /// Where it stands.
    pub instance: HostId,
    /// What it asks for, where that was told.
    pub load: Option<f64>,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Whose it is.
    pub balancer: String,
    /// When it was written, in Unix time.
    #[serde(rename = "at")]
    pub written_at: Micros,
    /// Until when the old process may go on, in Unix time.
    #[serde(rename = "until")]
    pub predecessor_exit: Micros,
    /// What stands.
    #[serde(rename = "stands")]
    pub connections: Vec<HandedOverConnection>,
}

/// Why what was found is not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverError {
    /// It is no handover, or another version's.
    UnknownFormat,
    /// It is not whole.
    Corrupt,
    /// It is another balancer's.
    WrongBalancer,
    /// It is from before.
    Expired,
}

impl std::fmt::Display for HandoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            HandoverError::UnknownFormat => "is no handover of this version",
            HandoverError::Corrupt => "is not whole",
            HandoverError::WrongBalancer => "is another balancer's",
            HandoverError::Expired => "is from before",
        })
    }
}

impl Handover {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {:016x}\n{body}", xxh64(body.as_bytes(), 0)).into_bytes()
    }

    /// Reads it, if it is for this balancer and was written just now.
    pub fn decode(bytes: &[u8], balancer: &str, now: Micros) -> Result<Handover, HandoverError> {
        let text = std::str::from_utf8(bytes).map_err(|_| HandoverError::UnknownFormat)?;
        let rest = text
            .strip_prefix(MAGIC)
            .and_then(|rest| rest.strip_prefix(' '))
            .ok_or(HandoverError::UnknownFormat)?;
        let (sum, body) = rest.split_once('\n').ok_or(HandoverError::Corrupt)?;
        if u64::from_str_radix(sum, 16) != Ok(xxh64(body.as_bytes(), 0)) {
            return Err(HandoverError::Corrupt);
        }
        let read: Handover = serde_json::from_str(body).map_err(|_| HandoverError::UnknownFormat)?;
        match read {
            read if read.balancer != balancer => Err(HandoverError::WrongBalancer),
            // One from the future is of a clock that was set back since.
            read if read.written_at.abs_diff(now) > MAX_AGE => Err(HandoverError::Expired),
            read => Ok(read),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Micros = 1_700_000_000_000_000;

    fn one() -> Handover {
        let stand = HandedOverConnection {
            class: "watch".into(),
            team: None,
            key: Some("k".into()),
            group: Some("g".into()),
            instance: 7,
            load: Some(762_700.5),
        };
        Handover {
            balancer: "n0".into(),
            written_at: NOW,
            predecessor_exit: NOW + 5,
            connections: vec![stand],
        }
    }

    #[test]
    fn what_does_not_fit_is_said_to() {
        let bytes = one().encode();
        assert_eq!(Handover::decode(&bytes, "n0", NOW + 9_000_000), Ok(one()));
        assert_eq!(Handover::decode(&bytes, "n1", NOW), Err(HandoverError::WrongBalancer));
        assert_eq!(Handover::decode(&bytes, "n0", NOW + 11_000_000), Err(HandoverError::Expired));
        assert_eq!(Handover::decode(&bytes, "n0", NOW - 11_000_000), Err(HandoverError::Expired));
        let newer = String::from_utf8(bytes).unwrap().replace("handover-1", "handover-2");
        assert_eq!(Handover::decode(newer.as_bytes(), "n0", NOW), Err(HandoverError::UnknownFormat));
        assert_eq!(Handover::decode(b"", "n0", NOW), Err(HandoverError::UnknownFormat));
    }

    proptest! {
        /// Guards against a handover that is taken up though it was cut off or a bit of it changed.
        #[test]
        fn a_torn_one_is_never_read(cut in any::<prop::sample::Index>(), bit in 0u8..8, flips in any::<bool>()) {
            let mut bytes = one().encode();
            let at = cut.index(bytes.len());
            if flips {
                bytes[at] ^= 1 << bit;
            } else {
                bytes.truncate(at);
            }
            // The sum may be written in capitals too: the same number.
            let same = Handover::decode(&bytes, "n0", NOW).is_ok_and(|read| read == one());
            prop_assert!(Handover::decode(&bytes, "n0", NOW).is_err() || same);
        }

        #[test]
        fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            prop_assert!(Handover::decode(&bytes, "n0", NOW).is_err());
        }
    }
}
