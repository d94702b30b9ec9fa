//! The interface between the broker and a protocol front end: the side of service clients, the side of instances, and
//! the outcomes that they report.

use super::metrics::CommandMetrics;
use super::{Broker, Command, SilenceMonitor};
use crate::api::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a command has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The decision module gave it up; part of the command may have been executed.
    GivenUp,
    /// The service client's deadline passed without an answer.
    Deadline,
    /// The service client sent data before it had its answer.
    UnexpectedInput,
}

/// Why a command ends before its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientGone {
    /// The service client has left.
    Left,
    /// The service client sent data before it had its answer; it is answered with a failure.
    UnexpectedInput,
}

/// How an established connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The instance ended it regularly.
    Served,
    /// The instance closed it without a regular end.
    Broken,
    /// The service client left or was asked to reconnect.
    Left,
}

/// One attempt at a command, as passed to a front end.
pub struct Execution {
    /// Id of the instance.
    pub instance: HostId,
    /// Name of the instance.
    pub name: Rc<str>,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Time at which the attempt is given up.
    pub deadline: Micros,
    pub(super) call: CallId,
    pub(super) command_metrics: Rc<CommandMetrics>,
    pub(super) broker: Rc<Broker>,
    /// Whether the request was sent completely.
    pub(super) sent: Cell<bool>,
}

impl Execution {
    /// Returns whether the attempt may still be sent. To be called right before the first byte is sent, since the
    /// instance may have started to drain while the connection was made, or the time window for a repeated attempt may
    /// have ended.
    pub fn may_send(&self) -> bool {
        let state = self.broker.state.borrow();
        let allowed = state.core.attempt_still_allowed(self.broker.now(), &self.call, self.instance);
        allowed && state.instances.is_ready(self.instance)
    }

    /// Returns the id of the command.
    pub fn call_id(&self) -> &str {
        &self.call.0
    }

    /// Records that the request was sent completely: from now on the instance may execute it.
    pub fn record_sent(&self) {
        self.sent.set(true);
        self.command_metrics.record_attempt();
    }

    /// Returns what the end of the attempt proves, on every front. A request that was not sent completely never ran,
    /// however its attempt ended. One that was sent may have run, unless the outcome is the instance's own rejection.
    pub(super) fn proven_outcome(&self, reported: Outcome) -> Outcome {
        if self.sent.get() || reported.never_ran() {
            reported
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Micros {
        self.deadline.saturating_sub(self.broker.now())
    }
}

/// The side of a front end that connects to instances.
#[allow(async_fn_in_trait)] // one thread: no future needs to be `Send`
pub trait Dialer {
    /// An open connection to an instance that has accepted.
    type Link;
    /// Carries out an execution; dropping the future cancels it and closes its connection.
    async fn execute(&self, execution: &Execution) -> Result<Self::Link, Outcome>;
}

/// The side of a front end that serves a service client.
#[allow(async_fn_in_trait)]
pub trait Client {
    /// An open connection to an instance that has accepted.
    type Link;
    /// Completes when the service client has left or broken the protocol.
    async fn wait_gone(&mut self) -> ClientGone;
    /// Relays data in both directions until the connection ends. The front records at `silence` the messages that the
    /// instance has to answer and what it sends, and ends the connection when the silence is exceeded.
    async fn relay(
        &mut self,
        link: Self::Link,
        command: &mut Command,
        silence: &SilenceMonitor,
    ) -> ConnectionEnd;
    /// Sends the final answer: refused, with a retry delay.
    async fn nack(&mut self, retry_after: Option<Micros>);
    /// Sends the final answer: failed.
    async fn fail(&mut self, failure: Failure);
}
