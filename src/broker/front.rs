//! What a front is to the core: a side that faces service clients, one that faces instances, and the words that pass.

use super::metrics::CommandMetrics;
use super::{Broker, Command};
use crate::api::*;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a command has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The module gave it up, and part of it may have run.
    GivenUp,
    /// No answer came before the service client's deadline.
    Deadline,
    /// The service client spoke before it had its answer.
    UnexpectedInput,
}

/// Why a command is over before its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientGone {
    /// The service client has left.
    Left,
    /// It broke the protocol, and is owed a failure.
    UnexpectedInput,
}

/// How a standing connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The instance has served it to its end.
    Served,
    /// The instance broke it.
    Broken,
    /// The service client left, or was asked to come again.
    Left,
}

/// One attempt, as a front sees it.
pub struct Execution {
    /// The instance.
    pub instance: HostId,
    /// Its name.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// When it is given up.
    pub deadline: Micros,
    pub(super) call: CallId,
    pub(super) command_metrics: Rc<CommandMetrics>,
    pub(super) broker: Rc<Broker>,
}

impl Execution {
    /// Whether it may be sent still: to be asked right before the first byte, since the instance may have begun to drain
    /// while the connection was made, or the window of a repeat may have closed.
    pub fn may_send(&self) -> bool {
        let state = self.broker.state.borrow();
        let allowed = state.core.attempt_still_allowed(self.broker.now(), &self.call, self.instance);
        allowed && state.instances.is_ready(self.instance)
    }

    /// Its first words were written whole: from now on it may run.
    pub fn record_sent(&self) {
        self.command_metrics.record_attempt();
    }

    /// What is left of its time.
    pub fn remaining(&self) -> Micros {
        self.deadline.saturating_sub(self.broker.now())
    }
}

/// A front's side that faces instances.
#[allow(async_fn_in_trait)] // one thread: no future needs to be `Send`
pub trait Dialer {
    /// An open connection to an instance that has accepted.
    type Link;
    /// Makes an execution; dropping the future gives it up and closes what it opened.
    async fn execute(&self, execution: &Execution) -> Result<Self::Link, Outcome>;
}

/// A front's side that faces a service client.
#[allow(async_fn_in_trait)]
pub trait Client {
    /// An open connection to an instance that has accepted.
    type Link;
    /// Ends when the service client has left, or has lost its claim to be served.
    async fn wait_gone(&mut self) -> ClientGone;
    /// Passes everything on, both ways, until the connection ends.
    async fn relay(&mut self, link: Self::Link, command: &mut Command) -> ConnectionEnd;
    /// Final answer: refused; come again after so long.
    async fn nack(&mut self, after: Option<Micros>);
    /// Final answer: failed.
    async fn fail(&mut self, why: Failure);
}
