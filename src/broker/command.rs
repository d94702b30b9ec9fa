//! A command's life, from its arrival to its final answer and on to the end of its connection.

use super::front::{Client, ClientGone, ConnectionEnd, Dialer, Execution, Failure};
use super::metrics::{CommandMetrics, CommandResult};
use super::{Broker, DescriptorReservation, Instruction, Refused, ANSWER_MARGIN, DESCRIPTORS_PER_CONNECTION};
use crate::api::*;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// News of slow messages comes once a second and instance, as the module's event means it.
const SLOW_REPORT_INTERVAL: Micros = 1_000_000;
/// A load is told with `UP`: a figure that comes later than this after it is no opening one. At an instance that
/// is overloaded the first that comes may be a time, for a connection that is idle tells no load.
const OPENING_LOAD_WINDOW: Micros = 50_000;
/// A connection on which an instance brings nothing back for a message is ended after this long: it may have
/// stopped up to two seconds before the message, and is owed its end within seven.
pub const SILENCE_TIMEOUT: Micros = 4_500_000;
/// And sooner where the instance works, for others heard of it meanwhile: then this connection alone has stopped.
const SINGLE_SILENCE_TIMEOUT: Micros = 3_000_000;

/// A command's life, from its arrival to its final answer and on to the end of its connection.
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
        // The module's next word: it may be waiting for a probe.
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
            // Looked at before the connection is: whoever left in the turn in which it came up is not sent on.
            // Dropping `execute` closes the attempt before its end is told: never two outstanding.
            gone = client.wait_gone() => return command.client_gone(gone, client).await,
            result = dialer.execute(&execution) => result,
            () = broker.sleep_until(execution.deadline) => Err(Outcome::Timeout),
        };
        match result {
            Ok(link) => break link,
            Err(outcome) => command.execution_failed(outcome),
        }
    };
    command.record_established();
    command_metrics.record_result(CommandResult::Completed);
    let ended = client.relay(link, &mut command).await;
    command.record_end(ended);
}

/// A connection that stood at this instance before the program started: it goes there and nowhere else, as
/// often as it takes until the client's time is up.
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
            () = broker.sleep_until(until) => return client.fail(Failure::Deadline).await,
        }
    };
    command_metrics.record_result(CommandResult::Completed);
    let mut command = broker.adopt(demand, team, instance);
    let ended = client.relay(link, &mut command).await;
    command.record_end(ended);
}

async fn answer_gone_client<C: Client>(gone: ClientGone, client: &mut C) {
    if gone == ClientGone::UnexpectedInput {
        client.fail(Failure::UnexpectedInput).await
    }
}

/// Between two tries to take up a connection that stood before.
const RESUME_RETRY_DELAY: Micros = 200_000;

/// One command in hand. Whatever becomes of it, its execution gives exactly one `Finished`, and the module
/// is told when it is over: at the latest when this is dropped.
pub struct Command {
    pub(super) broker: Rc<Broker>,
    pub(super) id: CallId,
    pub(super) instructions: UnboundedReceiver<Instruction>,
    pub(super) deadline: Micros,
    pub(super) deadline_passed: bool,
    /// The execution that is out, and since when.
    pub(super) execution: Option<(HostId, Micros)>,
    pub(super) execution_count: u32,
    /// Its load has been told.
    pub(super) load_reported: bool,
    pub(super) established: bool,
    pub(super) ended: bool,
    /// Its own and its link's.
    pub(super) descriptors: Option<DescriptorReservation>,
}

impl Command {
    /// The core.
    pub fn broker(&self) -> &Rc<Broker> {
        &self.broker
    }

    /// The next word; at the deadline, failed: the service client is owed an answer before it gives up.
    async fn next_instruction(&mut self) -> Instruction {
        let instruction = tokio::select! {
            biased;
            instruction = self.instructions.recv() => instruction,
            () = self.broker.sleep_until(self.deadline) => {
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

    /// The execution that the module asked for; none where the instance has left the list meanwhile.
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

    fn abandon(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            self.broker.handle_event(Event::Vanished { call: self.id.clone() });
        }
        self.finish_execution(Outcome::Cancelled, true);
    }

    /// The attempt's end is told before the service client is: never two outstanding.
    async fn client_gone<C: Client>(mut self, gone: ClientGone, client: &mut C) {
        self.abandon();
        answer_gone_client(gone, client).await
    }

    /// Ends when the service client is to be asked to come again.
    pub async fn move_requested(&mut self) {
        loop {
            match self.instructions.recv().await {
                Some(Instruction::Move) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// A figure that its instance tells on the connection: the load of this one, or, where the settings say so
    /// and it looks like one, how long messages take there. A load is told once when the connection opens.
    pub fn report_load(&mut self, value: f64) {
        let Some((host, since)) = self.execution else { return };
        let now = self.broker.now();
        // Among few balancers others tell of the instance too, and one idle connection must not speak for it.
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

    /// A message has been out for so long; whether its connection is to be ended for it. Unless others hear of
    /// the instance meanwhile, the module is told, once a second and instance.
    pub fn report_silence(&self, span: Micros) -> bool {
        let Some((host, _)) = self.execution else { return true };
        let now = self.broker.now();
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return span >= SILENCE_TIMEOUT };
            if instance.last_message_at > now.saturating_sub(span) {
                // It works: what is wrong is with this connection, and no reason to leave the instance.
                return span >= SINGLE_SILENCE_TIMEOUT;
            }
            if span < SLOW_REPORT_INTERVAL
                || instance
                    .slow_reported_at
                    .is_some_and(|reported| now < reported.saturating_add(SLOW_REPORT_INTERVAL))
            {
                return span >= SILENCE_TIMEOUT;
            }
            instance.slow_reported_at = Some(now);
        }
        self.broker.handle_event(Event::DelayNote { host, delay: span });
        span >= SILENCE_TIMEOUT
    }

    /// A message came back after so long. The module hears of it where it has heard of silence. How long it
    /// took says nothing else: an instance returns it at once however much work is piled up there, and what we
    /// see are delays of our own.
    pub fn report_returned_message(&self, span: Micros) {
        let Some((host, _)) = self.execution else { return };
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return };
            instance.last_message_at = self.broker.now();
            if instance.slow_reported_at.take().is_none() {
                return;
            }
        }
        self.broker.handle_event(Event::DelayNote { host, delay: span });
    }
}

impl Drop for Command {
    fn drop(&mut self) {
        // A connection that ends in no other way, even by a bug of ours, must not stay on the books.
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
