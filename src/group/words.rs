//! What members say to each other in datagrams: gossip, the voters' messages, questions and answers, and acts under a lease.

use super::record::{Command, Outcome, State};
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

/// One datagram's words.
#[derive(Clone, Debug, PartialEq)]
pub enum Words {
    /// Of the membership.
    Gossip(Vec<u8>),
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
            Words::Gossip(bytes) => (b'g', bytes.clone()),
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
            b'g' => Some(Words::Gossip(rest.to_vec())),
            b'v' => Some(Words::Voters(rest.to_vec())),
            b'q' => serde_json::from_slice(rest).ok().map(Words::Question),
            b'a' => serde_json::from_slice(rest).ok().map(Words::Answer),
            b't' => serde_json::from_slice(rest).ok().map(Words::Act),
            _ => None,
        }
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
                Words::Gossip(bytes.clone()),
                Words::Voters(bytes),
                Words::Question(Question { id, from: "n".into(), what: Wish::Change(command) }),
                Words::Answer(Answer { id, what: Reply::Outcome(Outcome::Granted(token)) }),
                Words::Act(Act { task: "t".into(), token, holder: "n".into() }),
            ];
            for words in all {
                prop_assert_eq!(Words::read(&words.write()), Some(words));
            }
        }
    }
}
