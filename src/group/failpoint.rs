//! A failure point between the decision to act under a lease and the act: the process stops itself there once.
//!
//! Only in builds with the feature `failpoints`, and only where the environment names a trigger file.

use rustix::process::{getpid, kill_process, Signal};
use std::path::PathBuf;

/// Names the trigger file: while it exists, the next act that is due stops the process.
const TRIGGER: &str = "OAKDEAL_STOP_BEFORE_ACT";

/// Stops the process before an act, when triggered.
pub struct StopBeforeAct {
    trigger: Option<PathBuf>,
}

impl StopBeforeAct {
    /// Armed where the environment names a trigger file.
    pub fn from_env() -> StopBeforeAct {
        StopBeforeAct { trigger: std::env::var_os(TRIGGER).map(PathBuf::from) }
    }

    /// Passed with acts that are decided and not yet sent. Removes the trigger file and stops the process until it is
    /// continued (SIGCONT); without the file it does nothing.
    pub fn reached(&self) {
        let triggered = self.trigger.as_ref().is_some_and(|file| std::fs::remove_file(file).is_ok());
        if triggered {
            // Cannot fail: a process may signal itself.
            let _ = kill_process(getpid(), Signal::STOP);
        }
    }
}
