//! A failure point between the decision to act under a lease and the action: the process stops itself there once.
//!
//! Only in builds with the feature `failpoints`, and only where the environment names a trigger file.

use rustix::process::{getpid, kill_process, Signal};
use std::path::PathBuf;

/// Environment variable with the path of the trigger file: while the file exists, the next action stops the process.
const TRIGGER_FILE_VARIABLE: &str = "OAKDEAL_STOP_BEFORE_ACT";

/// Stops the process before an action when triggered.
pub struct StopBeforeAct {
    /// The trigger file, if any.
    trigger: Option<PathBuf>,
}

impl StopBeforeAct {
    /// Returns a failure point that is armed if the environment names a trigger file.
    pub fn from_env() -> StopBeforeAct {
        StopBeforeAct { trigger: std::env::var_os(TRIGGER_FILE_VARIABLE).map(PathBuf::from) }
    }

    /// To be called when actions are decided and not yet sent. Removes the trigger file and stops the process until it is
    /// continued (SIGCONT); without the file it does nothing.
    pub fn reached(&self) {
        let triggered = self.trigger.as_ref().is_some_and(|file| std::fs::remove_file(file).is_ok());
        if triggered {
            // Cannot fail: a process may signal itself.
            let _ = kill_process(getpid(), Signal::STOP);
        }
    }
}
