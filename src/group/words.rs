//! What members say to each other in datagrams: gossip, the voters' messages, questions and answers, acts under a lease, and
//! reports for the fleet's account. What is too long for one datagram goes in parts.

use super::record::{Command, Outcome, State, MAX_NAME_BYTES};
use super::voter::Beacon;
use crate::contracts::row::Row;
use crate::failover::evidence::Digest;
use serde::{Deserialize, Serialize};

/// A question to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Its number at whoever asks.
    pub id: u64,
    /// Who asks.
    pub from: String,
    /// What.
    pub what: Wish,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// A change of the record.
    Change(Command),
    /// The record, if it is later than this version.
    Later(u64),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The question's number.
    pub id: u64,
    /// What came of it.
    pub what: Reply,
}

/// What came of a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Decided.
    Outcome(Outcome),
    /// Ask this voter; none is known to lead.
    Elsewhere(Option<String>),
    /// The record.
    Record(State),
    /// It has not changed.
    Same,
}

/// An act under a lease, told to all: whoever has seen a higher token refuses it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Act {
    /// The task.
    pub task: String,
    /// The token.
    pub token: u64,
    /// Who acts.
    pub holder: String,
}

/// What a process has counted of its teams since it started, for whoever writes the fleet's account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its name.
    pub balancer: String,
    /// When it started.
    pub started: u64,
    /// Some of its rows.
    pub rows: Vec<Row>,
}

/// A part of words that are too long for one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The same in all parts, and in no other words' for long.
    pub mark: u64,
    /// Which one.
    pub at: u8,
    /// Of how many.
    pub of: u8,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// One datagram's words.
#[derive(Clone, Debug, PartialEq)]
pub enum Words {
    /// Of the membership.
    Gossip {
        /// Who says it.
        from: String,
        /// The version of the record that it has.
        version: u64,
        /// The membership's own words.
        bytes: Vec<u8>,
    },
    /// How far a voter's folder has come.
    Beacon(Beacon),
    /// For the account.
    Report(Report),
    /// What a balancer sees of the zones.
    Digest(Digest),
    /// Of longer words.
    Part(Part),
    /// Of the voters.
    Voters(Vec<u8>),
    /// A question.
    Question(Question),
    /// An answer.
    Answer(Answer),
    /// An act.
    Act(Act),
}

impl Words {
    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        let json = |kind: u8, text: Result<Vec<u8>, serde_json::Error>| (kind, text.unwrap_or_default());
        let (kind, bytes) = match self {
            Words::Gossip { from, version, bytes } => {
                let from = &from.as_bytes()[..from.len().min(MAX_NAME_BYTES)];
                (b'g', [&[from.len() as u8], from, &version.to_le_bytes()[..], bytes].concat())
            }
            Words::Beacon(beacon) => json(b'b', serde_json::to_vec(beacon)),
            Words::Digest(digest) => json(b'd', serde_json::to_vec(digest)),
            Words::Report(report) => json(b'r', serde_json::to_vec(report)),
            Words::Part(p) => (b'p', [&p.mark.to_le_bytes()[..], &[p.at, p.of], &p.bytes].concat()),
            Words::Voters(bytes) => (b'v', bytes.clone()),
            Words::Question(question) => json(b'q', serde_json::to_vec(question)),
            Words::Answer(answer) => json(b'a', serde_json::to_vec(answer)),
            Words::Act(act) => json(b't', serde_json::to_vec(act)),
        };
        [&[kind], &bytes[..]].concat()
    }

    /// From bytes; none where a release does not know them.
    pub fn read(bytes: &[u8]) -> Option<Words> {
        let (kind, rest) = bytes.split_first()?;
        match kind {
            b'g' => {
                let (&long, rest) = rest.split_first()?;
                let (from, rest) = rest.split_at_checked(long.into())?;
                let (version, bytes) = rest.split_first_chunk::<8>()?;
                let from = String::from_utf8(from.to_vec()).ok()?;
                Some(Words::Gossip { from, version: u64::from_le_bytes(*version), bytes: bytes.to_vec() })
            }
            b'b' => serde_json::from_slice(rest).ok().map(Words::Beacon),
            b'd' => serde_json::from_slice(rest).ok().map(Words::Digest),
            b'r' => serde_json::from_slice(rest).ok().map(Words::Report),
            b'p' => {
                let (mark, rest) = rest.split_first_chunk::<8>()?;
                let (&[at, of], bytes) = rest.split_first_chunk::<2>()?;
                let mark = u64::from_le_bytes(*mark);
                Some(Words::Part(Part { mark, at, of, bytes: bytes.to_vec() })).filter(|_| at < of)
            }
            b'v' => Some(Words::Voters(rest.to_vec())),
            b'q' => serde_json::from_slice(rest).ok().map(Words::Question),
            b'a' => serde_json::from_slice(rest).ok().map(Words::Answer),
            b't' => serde_json::from_slice(rest).ok().map(Words::Act),
            _ => None,
        }
    }
}

/// Words by parts: what has come of those that are not whole. Bounded: the oldest goes.
#[derive(Default)]
pub struct Parts {
    open: Vec<(u64, Vec<Option<Vec<u8>>>)>,
}

/// Words that are put together at one time, at most.
const OPEN: usize = 8;
/// Parts that words have at most.
pub const MOST: usize = 64;

impl Parts {
    /// Cuts words; none where they are too long for so many parts of this size.
    pub fn cut(mark: u64, bytes: &[u8], size: usize) -> Option<Vec<Words>> {
        let of = bytes.len().div_ceil(size);
        let part = |(at, bytes): (usize, &[u8])| {
            Words::Part(Part { mark, at: at as u8, of: of as u8, bytes: bytes.to_vec() })
        };
        (of <= MOST).then(|| bytes.chunks(size).enumerate().map(part).collect())
    }

    /// Another part; the whole when it was the last that was missing.
    pub fn add(&mut self, part: Part) -> Option<Vec<u8>> {
        let (at, of) = (usize::from(part.at), usize::from(part.of));
        if at >= of || of > MOST {
            return None;
        }
        let n = match self.open.iter().position(|(mark, parts)| *mark == part.mark && parts.len() == of) {
            Some(n) => n,
            None => {
                if self.open.len() >= OPEN {
                    self.open.remove(0);
                }
                self.open.push((part.mark, vec![None; of]));
                self.open.len() - 1
            }
        };
        self.open[n].1[at] = Some(part.bytes);
        if self.open[n].1.iter().any(Option::is_none) {
            return None;
        }
        Some(self.open.remove(n).1.into_iter().flatten().flatten().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a panic on what somebody made up, and against words that do not come back.
        #[test]
        fn words_come_back_and_junk_is_none(bytes in prop::collection::vec(any::<u8>(), 0..200), id: u64, token: u64) {
            let _ = Words::read(&bytes);
            let command = Command::Renew { task: "t".into(), token };
            let all = [
                Words::Gossip { from: "n".into(), version: id, bytes: bytes.clone() },
                Words::Part(Part { mark: id, at: 1, of: 2, bytes: bytes.clone() }),
                Words::Voters(bytes),
                Words::Question(Question { id, from: "n".into(), what: Wish::Change(command) }),
                Words::Answer(Answer { id, what: Reply::Outcome(Outcome::Granted(token)) }),
                Words::Act(Act { task: "t".into(), token, holder: "n".into() }),
            ];
            for words in all {
                prop_assert_eq!(Words::read(&words.write()), Some(words));
            }
        }

        /// Guards against long words that come back otherwise than they were cut, whatever order and doubling their parts have,
        /// and against memory that grows with parts that somebody made up.
        #[test]
        fn long_words_are_whole_again_in_any_order(
            bytes in prop::collection::vec(any::<u8>(), 1..900), seed: u64, junk in prop::collection::vec(any::<u64>(), 0..30),
        ) {
            let mut parts = Parts::default();
            for mark in junk {
                parts.add(Part { mark, at: (mark % 7) as u8, of: (mark % 300) as u8, bytes: vec![0; 9] });
                prop_assert!(parts.open.len() <= OPEN && parts.open.iter().all(|(_, all)| all.len() <= MOST));
            }
            let mut cut = Parts::cut(5, &bytes, 100).unwrap();
            let key = |words: &Words| xxhash_rust::xxh64::xxh64(&words.write(), seed);
            cut.sort_by_key(key);
            let (twice, mut whole) = (cut[0].clone(), Vec::new());
            for words in [twice].into_iter().chain(cut) {
                let Words::Part(part) = words else { panic!() };
                whole.extend(parts.add(part));
            }
            // Of one part each copy is whole.
            prop_assert!(whole.iter().all(|all| *all == bytes) && !whole.is_empty());
            prop_assert_eq!(Parts::cut(5, &bytes, 1).is_none(), bytes.len() > MOST);
        }
    }
}
