//! The handover from a process that ends to its successor: the established connections, which the successor counts
//! until their clients reconnect.
//!
//! Guaranteed: a handover that is read is complete, of this format version, of this balancer, and was written just
//! before; otherwise a [`HandoverError`] gives the reason. Not guaranteed: that there is a handover to read.

use crate::api::{HostId, Micros};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

/// Start of the file, with the format version. Other versions are not read.
const MAGIC: &str = "oakdeal-handover-1";
/// Largest file that is read; enough for about ten thousand connections.
pub const MAX_BYTES: usize = 4 << 20;
/// Largest age of a handover. An older file is left over from an earlier upgrade: the platform ends the old process
/// within seconds of the first positive health check of the new one.
const MAX_AGE: Micros = 10_000_000;

/// An established connection of the previous process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedOverConnection {
    /// Name of the class.
    pub class: String,
    /// Team that the client named.
    pub team: Option<String>,
    /// Key of the client.
    pub key: Option<String>,
    /// Group of the client.
    pub group: Option<String>,
    /// Instance of the connection.
    pub instance: HostId,
    /// Load of the connection, if it was reported.
    pub load: Option<f64>,
}

/// The content of a handover file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Name of the balancer.
    pub balancer: String,
    /// Time of writing, in Unix time.
    #[serde(rename = "at")]
    pub written_at: Micros,
    /// Latest end of the previous process, in Unix time.
    #[serde(rename = "until")]
    pub predecessor_exit: Micros,
    /// The established connections.
    #[serde(rename = "stands")]
    pub connections: Vec<HandedOverConnection>,
}

/// Why a handover is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverError {
    /// The file is no handover or has another format version.
    UnknownFormat,
    /// The file is truncated or damaged.
    Corrupt,
    /// It was written by another balancer.
    WrongBalancer,
    /// It was written too long ago or by a clock that is ahead.
    Expired,
}

impl std::fmt::Display for HandoverError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            HandoverError::UnknownFormat => "is not a handover of this format version",
            HandoverError::Corrupt => "is not whole",
            HandoverError::WrongBalancer => "was written by another balancer",
            HandoverError::Expired => "is out of date",
        })
    }
}

impl Handover {
    /// Returns the file content.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_string(self).unwrap_or_default();
        format!("{MAGIC} {:016x}\n{body}", xxh64(body.as_bytes(), 0)).into_bytes()
    }

    /// Decodes a handover of this balancer that was written just before.
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
            // A time in the future was written before the clock was set back.
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

    fn example() -> Handover {
        let connection = HandedOverConnection {
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
            connections: vec![connection],
        }
    }

    #[test]
    fn a_handover_of_another_balancer_time_or_format_is_refused() {
        let bytes = example().encode();
        assert_eq!(Handover::decode(&bytes, "n0", NOW + 9_000_000), Ok(example()));
        assert_eq!(Handover::decode(&bytes, "n1", NOW), Err(HandoverError::WrongBalancer));
        assert_eq!(Handover::decode(&bytes, "n0", NOW + 11_000_000), Err(HandoverError::Expired));
        assert_eq!(Handover::decode(&bytes, "n0", NOW - 11_000_000), Err(HandoverError::Expired));
        let newer = String::from_utf8(bytes).unwrap().replace("handover-1", "handover-2");
        assert_eq!(Handover::decode(newer.as_bytes(), "n0", NOW), Err(HandoverError::UnknownFormat));
        assert_eq!(Handover::decode(b"", "n0", NOW), Err(HandoverError::UnknownFormat));
    }

    proptest! {
        /// Guards against a handover that is used although it was truncated or a bit of it was flipped.
        #[test]
        fn a_damaged_handover_is_never_read(cut in any::<prop::sample::Index>(), bit in 0u8..8, flips in any::<bool>()) {
            let mut bytes = example().encode();
            let at = cut.index(bytes.len());
            if flips {
                bytes[at] ^= 1 << bit;
            } else {
                bytes.truncate(at);
            }
            // A flipped bit may turn a letter of the hexadecimal checksum into a capital: the value is the same.
            let same = Handover::decode(&bytes, "n0", NOW).is_ok_and(|read| read == example());
            prop_assert!(Handover::decode(&bytes, "n0", NOW).is_err() || same);
        }

        #[test]
        fn arbitrary_bytes_are_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            prop_assert!(Handover::decode(&bytes, "n0", NOW).is_err());
        }
    }
}
