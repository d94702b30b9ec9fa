//! Messages between members and their datagram encoding: gossip, consensus traffic, requests and responses, announcements of
//! actions under a lease, usage reports and zone digests. A message that exceeds one datagram is sent as fragments.
//!
//! Decoding never panics and returns nothing for a message that this release does not know. Delivery is that of datagrams:
//! messages may be lost, duplicated and reordered, and nothing here sends them again.

use super::record::{Command, Outcome, State, MAX_NAME_BYTES};
use super::voter::Beacon;
use crate::contracts::row::Row;
use crate::failover::evidence::Digest;
use serde::{Deserialize, Serialize};

/// A request to another member, usually a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Request number, unique at the sender.
    pub id: u64,
    /// Name of the sender, to which the response is addressed.
    pub from: String,
    /// The requested operation.
    #[serde(rename = "what")]
    pub body: RequestBody,
}

/// The operation of a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestBody {
    /// Proposes a change of the replicated record.
    Change(Command),
    /// Asks for the record if its version is higher than this one.
    #[serde(rename = "Later")]
    RecordNewerThan(u64),
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Number of the request.
    pub id: u64,
    /// The result.
    #[serde(rename = "what")]
    pub body: ResponseBody,
}

/// The result of a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// The proposed change was decided, with this outcome.
    Outcome(Outcome),
    /// The receiver does not lead: the request is to go to this voter, if a leader is known.
    #[serde(rename = "Elsewhere")]
    Redirect(Option<String>),
    /// The record, newer than the version of the request.
    Record(State),
    /// The receiver has no newer record.
    #[serde(rename = "Same")]
    NoNewerRecord,
}

/// Announces an action under a lease to all members. A receiver that has seen a higher token for the task rejects it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeasedAction {
    /// The task that is leased.
    pub task: String,
    /// The fencing token of the lease.
    pub token: u64,
    /// Name of the member that acts.
    pub holder: String,
}

/// Counts of one process by team since it started, for the writer of the fleet's account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the process.
    pub balancer: String,
    /// Start time of the process in Unix milliseconds; distinguishes processes that had the same name.
    pub started: u64,
    /// Some or all of the process's rows.
    pub rows: Vec<Row>,
}

/// A fragment of a message that exceeds one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Fragment {
    /// Identifies the message: equal in all its fragments, and not used again soon.
    pub message_id: u64,
    /// Position of the fragment in the message, from 0.
    pub index: u8,
    /// Number of fragments of the message.
    pub count: u8,
    /// Bytes of the encoded message.
    pub bytes: Vec<u8>,
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A packet of the membership protocol.
    Gossip {
        /// Name of the sender.
        from: String,
        /// Version of the sender's record.
        version: u64,
        /// The packet.
        bytes: Vec<u8>,
    },
    /// How far a voter's storage has come.
    Beacon(Beacon),
    /// Usage counts for the fleet's account.
    UsageReport(UsageReport),
    /// A balancer's view of the zones.
    Digest(Digest),
    /// A fragment of a longer message.
    Fragment(Fragment),
    /// A message of the consensus protocol between voters.
    Consensus(Vec<u8>),
    /// A request.
    Request(Request),
    /// A response.
    Response(Response),
    /// An announcement of an action under a lease.
    Action(LeasedAction),
}

impl Message {
    /// Returns the encoded message: a byte for its kind, then its content.
    pub fn encode(&self) -> Vec<u8> {
        let json =
            |kind: u8, encoded: Result<Vec<u8>, serde_json::Error>| (kind, encoded.unwrap_or_default());
        let (kind, bytes) = match self {
            Message::Gossip { from, version, bytes } => {
                let from = &from.as_bytes()[..from.len().min(MAX_NAME_BYTES)];
                (b'g', [&[from.len() as u8], from, &version.to_le_bytes()[..], bytes].concat())
            }
            Message::Beacon(beacon) => json(b'b', serde_json::to_vec(beacon)),
            Message::Digest(digest) => json(b'd', serde_json::to_vec(digest)),
            Message::UsageReport(report) => json(b'r', serde_json::to_vec(report)),
            Message::Fragment(fragment) => (
                b'p',
                [&fragment.message_id.to_le_bytes()[..], &[fragment.index, fragment.count], &fragment.bytes]
                    .concat(),
            ),
            Message::Consensus(bytes) => (b'v', bytes.clone()),
            Message::Request(request) => json(b'q', serde_json::to_vec(request)),
            Message::Response(response) => json(b'a', serde_json::to_vec(response)),
            Message::Action(action) => json(b't', serde_json::to_vec(action)),
        };
        [&[kind], &bytes[..]].concat()
    }

    /// Returns the decoded message, or `None` where the bytes are malformed or of a kind that this release does not know.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (kind, rest) = bytes.split_first()?;
        match kind {
            b'g' => {
                let (&name_bytes, rest) = rest.split_first()?;
                let (from, rest) = rest.split_at_checked(name_bytes.into())?;
                let (version, bytes) = rest.split_first_chunk::<8>()?;
                let from = String::from_utf8(from.to_vec()).ok()?;
                Some(Message::Gossip { from, version: u64::from_le_bytes(*version), bytes: bytes.to_vec() })
            }
            b'b' => serde_json::from_slice(rest).ok().map(Message::Beacon),
            b'd' => serde_json::from_slice(rest).ok().map(Message::Digest),
            b'r' => serde_json::from_slice(rest).ok().map(Message::UsageReport),
            b'p' => {
                let (message_id, rest) = rest.split_first_chunk::<8>()?;
                let (&[index, count], bytes) = rest.split_first_chunk::<2>()?;
                let message_id = u64::from_le_bytes(*message_id);
                Some(Message::Fragment(Fragment { message_id, index, count, bytes: bytes.to_vec() }))
                    .filter(|_| index < count)
            }
            b'v' => Some(Message::Consensus(rest.to_vec())),
            b'q' => serde_json::from_slice(rest).ok().map(Message::Request),
            b'a' => serde_json::from_slice(rest).ok().map(Message::Response),
            b't' => serde_json::from_slice(rest).ok().map(Message::Action),
            _ => None,
        }
    }
}

/// Reassembles messages from fragments. Memory is bounded: where too many messages are incomplete the oldest is dropped.
#[derive(Default)]
pub struct Reassembly {
    /// Incomplete messages, oldest first: message id, and the fragments received so far by index.
    incomplete: Vec<(u64, Vec<Option<Vec<u8>>>)>,
}

/// Maximum number of messages that are reassembled at one time; bounds the memory that forged fragments can take.
const MAX_INCOMPLETE_MESSAGES: usize = 8;
/// Maximum number of fragments of one message; bounds its length and the memory of one that stays incomplete.
pub const MAX_FRAGMENTS: usize = 64;

impl Reassembly {
    /// Splits an encoded message into fragments of at most `size` bytes; `None` where it needs more than [`MAX_FRAGMENTS`].
    pub fn split(message_id: u64, bytes: &[u8], size: usize) -> Option<Vec<Message>> {
        let count = bytes.len().div_ceil(size);
        let fragment = |(index, bytes): (usize, &[u8])| {
            Message::Fragment(Fragment {
                message_id,
                index: index as u8,
                count: count as u8,
                bytes: bytes.to_vec(),
            })
        };
        (count <= MAX_FRAGMENTS).then(|| bytes.chunks(size).enumerate().map(fragment).collect())
    }

    /// Adds a fragment, and returns the encoded message if this was the last missing one.
    pub fn add(&mut self, fragment: Fragment) -> Option<Vec<u8>> {
        let (index, count) = (usize::from(fragment.index), usize::from(fragment.count));
        if index >= count || count > MAX_FRAGMENTS {
            return None;
        }
        let n = match self
            .incomplete
            .iter()
            .position(|(id, fragments)| *id == fragment.message_id && fragments.len() == count)
        {
            Some(n) => n,
            None => {
                if self.incomplete.len() >= MAX_INCOMPLETE_MESSAGES {
                    self.incomplete.remove(0);
                }
                self.incomplete.push((fragment.message_id, vec![None; count]));
                self.incomplete.len() - 1
            }
        };
        self.incomplete[n].1[index] = Some(fragment.bytes);
        if self.incomplete[n].1.iter().any(Option::is_none) {
            return None;
        }
        Some(self.incomplete.remove(n).1.into_iter().flatten().flatten().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a panic on arbitrary bytes, and against messages that do not survive encoding and decoding.
        #[test]
        fn decoding_never_panics_and_returns_what_was_encoded(bytes in prop::collection::vec(any::<u8>(), 0..200), id: u64, token: u64) {
            let _ = Message::decode(&bytes);
            let command = Command::Renew { task: "t".into(), token };
            let all = [
                Message::Gossip { from: "n".into(), version: id, bytes: bytes.clone() },
                Message::Fragment(Fragment { message_id: id, index: 1, count: 2, bytes: bytes.clone() }),
                Message::Consensus(bytes),
                Message::Request(Request { id, from: "n".into(), body: RequestBody::Change(command) }),
                Message::Response(Response { id, body: ResponseBody::Outcome(Outcome::Granted(token)) }),
                Message::Action(LeasedAction { task: "t".into(), token, holder: "n".into() }),
            ];
            for message in all {
                prop_assert_eq!(Message::decode(&message.encode()), Some(message));
            }
        }

        /// Guards against a message that is reassembled wrongly when its fragments are reordered or duplicated, and against memory
        /// that grows with forged fragments.
        #[test]
        fn fragments_in_any_order_give_the_message_and_forged_ones_take_bounded_memory(
            bytes in prop::collection::vec(any::<u8>(), 1..900), seed: u64, junk in prop::collection::vec(any::<u64>(), 0..30),
        ) {
            let mut reassembly = Reassembly::default();
            for message_id in junk {
                reassembly.add(Fragment { message_id, index: (message_id % 7) as u8, count: (message_id % 300) as u8, bytes: vec![0; 9] });
                prop_assert!(
                    reassembly.incomplete.len() <= MAX_INCOMPLETE_MESSAGES
                        && reassembly.incomplete.iter().all(|(_, fragments)| fragments.len() <= MAX_FRAGMENTS)
                );
            }
            let mut fragments = Reassembly::split(5, &bytes, 100).unwrap();
            let key = |message: &Message| xxhash_rust::xxh64::xxh64(&message.encode(), seed);
            fragments.sort_by_key(key);
            let (duplicate, mut whole) = (fragments[0].clone(), Vec::new());
            for message in [duplicate].into_iter().chain(fragments) {
                let Message::Fragment(fragment) = message else { panic!() };
                whole.extend(reassembly.add(fragment));
            }
            // A message of one fragment is returned for each copy of it.
            prop_assert!(whole.iter().all(|all| *all == bytes) && !whole.is_empty());
            prop_assert_eq!(Reassembly::split(5, &bytes, 1).is_none(), bytes.len() > MAX_FRAGMENTS);
        }
    }
}
