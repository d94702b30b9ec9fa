//! The lifecycle of a command, from its arrival to its final answer, and on to the end of its connection if one is
//! established.

use super::front::{Client, ClientGone, ConnectionEnd, Dialer, Execution, Failure};
use super::metrics::{CommandMetrics, CommandResult};
use super::silence::{SilenceMonitor, SLOW_REPORT_INTERVAL};
use super::{Broker, DescriptorReservation, Instruction, Refused, ANSWER_MARGIN, DESCRIPTORS_PER_CONNECTION};
use crate::api::*;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Time from `UP` within which the first `LOAD` value is the connection's load. An idle connection reports no load, so
/// at an overloaded instance a later first value may be a message delay.
const OPENING_LOAD_WINDOW: Micros = 50_000;

/// Runs a command from its arrival to its final answer, and on to the end of its connection if one is established.
pub async fn run_command<C, D>(
    broker: &Rc<Broker>,
    demand: Demand,
    team: Option<&str>,
    client: &mut C,
    dialer: &D,
) where
    C: Client,
    D: Dialer<Link = C::Link>,
{
    let command_metrics = broker.count_command(demand.class);
    let mut command = match broker.accept(demand, team) {
        Ok(command) => command,
        Err(Refused(retry_after)) => {
            command_metrics.record_result(CommandResult::Rejected);
            return client.nack(retry_after).await;
        }
    };
    let link = loop {
        // The next instruction may take a while: the decision module may be waiting for a probe.
        let instruction = tokio::select! {
            biased;
            gone = client.wait_gone() => return command.client_gone(gone, client).await,
            instruction = command.next_instruction() => instruction,
        };
        let (instance, patience) = match instruction {
            Instruction::Execute { instance, patience } => (instance, patience),
            Instruction::Nack(retry_after) => {
                command_metrics.record_result(CommandResult::Rejected);
                return client.nack(retry_after).await;
            }
            Instruction::Fail => {
                command_metrics.record_result(CommandResult::Failed);
                return client.fail(command.failure_cause()).await;
            }
            Instruction::Move => continue,
        };
        let Some(execution) = command.begin_execution(instance, patience, &command_metrics) else { continue };
        let result = tokio::select! {
            biased;
            // Polled before the connection: a client that leaves in the same turn in which the connection is
            // established is not connected. Dropping `execute` closes the attempt before its end is reported, so that
            // two are never outstanding.
            gone = client.wait_gone() => return command.client_gone(gone, client).await,
            result = dialer.execute(&execution) => result,
            () = broker.request_deadline(execution.deadline) => Err(Outcome::Timeout),
        };
        match result {
            Ok(link) => break link,
            Err(outcome) => command.execution_failed(execution.proven_outcome(outcome)),
        }
    };
    command.record_established();
    command_metrics.record_result(CommandResult::Completed);
    let silence = command.silence_monitor();
    let ended = client.relay(link, &mut command, &silence).await;
    command.record_end(ended);
}

/// Resumes a connection that was established at this instance before the process started. Only this instance is tried,
/// until the client's deadline.
pub async fn resume_connection<C, D>(
    broker: &Rc<Broker>,
    demand: Demand,
    team: Option<&str>,
    instance: HostId,
    client: &mut C,
    dialer: &D,
) where
    C: Client,
    D: Dialer<Link = C::Link>,
{
    let command_metrics = broker.count_command(demand.class);
    let Some(_descriptors) = broker.reserve_descriptors(DESCRIPTORS_PER_CONNECTION) else {
        command_metrics.record_result(CommandResult::Rejected);
        return client.nack(None).await;
    };
    let until = broker.now().saturating_add(demand.left).saturating_sub(ANSWER_MARGIN);
    let link = loop {
        let attempt = async {
            let execution = broker.execution(&demand.call, instance, until, &command_metrics)?;
            dialer.execute(&execution).await.ok()
        };
        let attempt_or_delay = async {
            match attempt.await {
                Some(link) => Some(link),
                None => {
                    broker.sleep(RESUME_RETRY_DELAY).await;
                    None
                }
            }
        };
        tokio::select! {
            biased;
            gone = client.wait_gone() => return answer_gone_client(gone, client).await,
            result = attempt_or_delay => if let Some(link) = result { break link },
            () = broker.request_deadline(until) => return client.fail(Failure::Deadline).await,
        }
    };
    command_metrics.record_result(CommandResult::Completed);
    let mut command = broker.adopt(demand, team, instance);
    let silence = command.silence_monitor();
    let ended = client.relay(link, &mut command, &silence).await;
    command.record_end(ended);
}

/// Answers a client that broke the protocol; one that has left gets no answer.
async fn answer_gone_client<C: Client>(gone: ClientGone, client: &mut C) {
    if gone == ClientGone::UnexpectedInput {
        client.fail(Failure::UnexpectedInput).await
    }
}

/// Time between two attempts to resume a connection.
const RESUME_RETRY_DELAY: Micros = 200_000;

/// An active command. Each of its executions produces exactly one `Finished` event, and the decision module is notified
/// of the command's end, at the latest when this is dropped.
pub struct Command {
    pub(super) broker: Rc<Broker>,
    pub(super) id: CallId,
    pub(super) instructions: UnboundedReceiver<Instruction>,
    pub(super) deadline: Micros,
    pub(super) deadline_passed: bool,
    /// Instance and start time of the current execution.
    pub(super) execution: Option<(HostId, Micros)>,
    pub(super) execution_count: u32,
    /// Whether a first load or delay has been reported.
    pub(super) load_reported: bool,
    pub(super) established: bool,
    pub(super) ended: bool,
    /// Descriptors of the client's connection and of the instance's.
    pub(super) descriptors: Option<DescriptorReservation>,
}

impl Command {
    /// Returns the broker.
    pub fn broker(&self) -> &Rc<Broker> {
        &self.broker
    }

    /// Returns the monitor of the established connection.
    fn silence_monitor(&self) -> SilenceMonitor {
        SilenceMonitor::new(self.broker.clone(), self.execution.map(|(host, _)| host))
    }

    /// Returns the next instruction; at the deadline `Fail`, so that the service client is answered before it gives up.
    async fn next_instruction(&mut self) -> Instruction {
        let instruction = tokio::select! {
            biased;
            instruction = self.instructions.recv() => instruction,
            () = self.broker.request_deadline(self.deadline) => {
                self.deadline_passed = true;
                None
            }
        };
        match instruction {
            Some(instruction) => {
                self.ended |= matches!(instruction, Instruction::Nack(_) | Instruction::Fail);
                instruction
            }
            None => {
                self.abandon();
                Instruction::Fail
            }
        }
    }

    fn failure_cause(&self) -> Failure {
        if self.deadline_passed {
            Failure::Deadline
        } else {
            Failure::GivenUp
        }
    }

    /// Starts the execution that the decision module asked for. Returns `None` if the instance has left the list
    /// meanwhile.
    fn begin_execution(
        &mut self,
        instance: HostId,
        patience: Micros,
        command_metrics: &Rc<CommandMetrics>,
    ) -> Option<Execution> {
        let now = self.broker.now();
        self.execution = Some((instance, now));
        self.execution_count += 1;
        let until = now.saturating_add(patience).min(self.deadline);
        let execution = self.broker.execution(&self.id, instance, until, command_metrics);
        if execution.is_none() {
            self.execution_failed(Outcome::Moot);
        }
        execution
    }

    /// Reports the end of the current execution, if there is one; `ended` if the command has ended with it.
    fn finish_execution(&mut self, outcome: Outcome, ended: bool) {
        let Some((host, since)) = self.execution.take() else { return };
        let (call, attempt) = (self.id.clone(), self.execution_count - 1);
        let elapsed = self.broker.now().saturating_sub(since);
        self.broker.handle_event(Event::Finished { call, attempt, host, outcome, elapsed, ended });
    }

    fn execution_failed(&mut self, outcome: Outcome) {
        self.finish_execution(outcome, false);
    }

    fn record_established(&mut self) {
        if let Some((host, since)) = self.execution {
            let elapsed = self.broker.now().saturating_sub(since);
            self.broker.handle_event(Event::Opened { call: self.id.clone(), host, elapsed });
        }
        self.mark_established();
    }

    pub(super) fn mark_established(&mut self) {
        self.established = true;
        self.broker.state.borrow_mut().established.push_back(self.id.clone());
    }

    fn record_end(&mut self, end: ConnectionEnd) {
        self.ended = true;
        let outcome = match end {
            ConnectionEnd::Served => Outcome::Ok,
            ConnectionEnd::Broken => Outcome::Reset,
            ConnectionEnd::Left => Outcome::Cancelled,
        };
        self.finish_execution(outcome, true);
    }

    /// Ends the command without a final answer of the decision module.
    fn abandon(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            self.broker.handle_event(Event::Vanished { call: self.id.clone() });
        }
        self.finish_execution(Outcome::Cancelled, true);
    }

    /// Ends the command of a client that has left or broke the protocol. The end of the attempt is reported before the
    /// client is answered, so that two attempts are never outstanding.
    async fn client_gone<C: Client>(mut self, gone: ClientGone, client: &mut C) {
        self.abandon();
        answer_gone_client(gone, client).await
    }

    /// Completes when the service client is to be asked to reconnect.
    pub async fn move_requested(&mut self) {
        loop {
            match self.instructions.recv().await {
                Some(Instruction::Move) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Reports the value of a `LOAD` line of the instance: the load of this connection or, if the settings say that
    /// instances report message delays and the value is classified as one, the delay of messages at the instance. The
    /// load is reported once when the connection opens.
    pub fn report_load(&mut self, value: f64) {
        let Some((host, since)) = self.execution else { return };
        let now = self.broker.now();
        // With few balancers other connections report on the instance too, and one idle connection must not determine
        // its delay.
        let window = if self.broker.is_large_fleet { OPENING_LOAD_WINDOW } else { SLOW_REPORT_INTERVAL };
        let opening = !std::mem::replace(&mut self.load_reported, true) && now < since.saturating_add(window);
        if self.broker.message_delays_reported && !opening {
            let mut state = self.broker.state.borrow_mut();
            let delay =
                state.instances.get_mut(host).and_then(|i| i.load_line_classifier.message_delay(now, value));
            drop(state);
            if let Some(delay) = delay {
                return self.broker.handle_event(Event::DelayNote { host, delay });
            }
        }
        self.broker.handle_event(Event::LoadNote { call: self.id.clone(), load: value });
    }
}

impl Drop for Command {
    fn drop(&mut self) {
        // A command that ends in any other way, even through a bug in this program, must not remain registered.
        if self.execution.is_some() || !self.ended {
            self.abandon();
        }
        let mut state = self.broker.state.borrow_mut();
        state.commands.remove(&self.id);
        if self.established {
            state.established.retain(|id| *id != self.id);
        }
    }
}
