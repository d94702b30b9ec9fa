//! A command's life, from its arrival to its final answer and on to the end of its connection.

use super::front::{Client, ClientGone, ConnectionEnd, Dialer, Execution, Failure};
use super::metrics::{CommandMetrics, CommandResult};
use super::{Broker, Descriptors, Refused, Word, ANSWER_AHEAD, CONNECTION};
use crate::api::*;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// News of slow messages comes once a second and instance, as the module's event means it.
const SLOW_EVERY: Micros = 1_000_000;
/// A load is told with `UP`: a figure that comes later than this after it is no opening one. At an instance that
/// is overloaded the first that comes may be a time, for a connection that is idle tells no load.
const OPENING: Micros = 50_000;
/// A connection on which an instance brings nothing back for a message is ended after this long: it may have
/// stopped up to two seconds before the message, and is owed its end within seven.
pub const SILENCE_TIMEOUT: Micros = 4_500_000;
/// And sooner where the instance works, for others heard of it meanwhile: then this connection alone has stopped.
const ALONE: Micros = 3_000_000;

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
    let mut command = match broker.take(demand, team) {
        Ok(command) => command,
        Err(Refused(after)) => {
            command_metrics.record_result(CommandResult::Rejected);
            return client.nack(after).await;
        }
    };
    let link = loop {
        // The module's next word: it may be waiting for a probe.
        let word = tokio::select! {
            biased;
            gone = client.wait_gone() => return command.gone(gone, client).await,
            word = command.word() => word,
        };
        let (instance, patience) = match word {
            Word::Execute { instance, patience } => (instance, patience),
            Word::Nack(after) => {
                command_metrics.record_result(CommandResult::Rejected);
                return client.nack(after).await;
            }
            Word::Fail => {
                command_metrics.record_result(CommandResult::Failed);
                return client.fail(command.failure()).await;
            }
            Word::Move => continue,
        };
        let Some(execution) = command.begin(instance, patience, &command_metrics) else { continue };
        let came = tokio::select! {
            biased;
            // Looked at before the connection is: whoever left in the turn in which it came up is not sent on.
            // Dropping `execute` closes the attempt before its end is told: never two outstanding.
            gone = client.wait_gone() => return command.gone(gone, client).await,
            came = dialer.execute(&execution) => came,
            () = broker.sleep_until(execution.deadline) => Err(Outcome::Timeout),
        };
        match came {
            Ok(link) => break link,
            Err(outcome) => command.finished(outcome),
        }
    };
    command.opened();
    command_metrics.record_result(CommandResult::Completed);
    let ended = client.relay(link, &mut command).await;
    command.ended(ended);
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
    let Some(_both) = broker.reserve_descriptors(CONNECTION) else {
        command_metrics.record_result(CommandResult::Rejected);
        return client.nack(None).await;
    };
    let until = broker.now().saturating_add(demand.left).saturating_sub(ANSWER_AHEAD);
    let link = loop {
        let tried = async {
            let execution = broker.execution(&demand.call, instance, until, &command_metrics)?;
            dialer.execute(&execution).await.ok()
        };
        let again = async {
            match tried.await {
                Some(link) => Some(link),
                None => {
                    broker.sleep(ADOPT_AGAIN).await;
                    None
                }
            }
        };
        tokio::select! {
            biased;
            gone = client.wait_gone() => return part(gone, client).await,
            came = again => if let Some(link) = came { break link },
            () = broker.sleep_until(until) => return client.fail(Failure::Deadline).await,
        }
    };
    command_metrics.record_result(CommandResult::Completed);
    let mut command = broker.adopt(demand, team, instance);
    let ended = client.relay(link, &mut command).await;
    command.ended(ended);
}

async fn part<C: Client>(gone: ClientGone, client: &mut C) {
    if gone == ClientGone::UnexpectedInput {
        client.fail(Failure::UnexpectedInput).await
    }
}

/// Between two tries to take up a connection that stood before.
const ADOPT_AGAIN: Micros = 200_000;

/// One command in hand. Whatever becomes of it, its execution gives exactly one `Finished`, and the module
/// is told when it is over: at the latest when this is dropped.
pub struct Command {
    pub(super) broker: Rc<Broker>,
    pub(super) id: CallId,
    pub(super) heard: UnboundedReceiver<Word>,
    pub(super) deadline: Micros,
    pub(super) late: bool,
    /// The execution that is out, and since when.
    pub(super) out: Option<(HostId, Micros)>,
    pub(super) executions: u32,
    /// Its load has been told.
    pub(super) loaded: bool,
    pub(super) stands: bool,
    pub(super) over: bool,
    /// Its own and its link's.
    pub(super) descriptors: Option<Descriptors>,
}

impl Command {
    /// The core.
    pub fn broker(&self) -> &Rc<Broker> {
        &self.broker
    }

    /// The next word; at the deadline, failed: the service client is owed an answer before it gives up.
    async fn word(&mut self) -> Word {
        let word = tokio::select! {
            biased;
            word = self.heard.recv() => word,
            () = self.broker.sleep_until(self.deadline) => {
                self.late = true;
                None
            }
        };
        match word {
            Some(word) => {
                self.over |= matches!(word, Word::Nack(_) | Word::Fail);
                word
            }
            None => {
                self.vanish();
                Word::Fail
            }
        }
    }

    fn failure(&self) -> Failure {
        if self.late {
            Failure::Deadline
        } else {
            Failure::GivenUp
        }
    }

    /// The execution that the module asked for; none where the instance has left the list meanwhile.
    fn begin(
        &mut self,
        instance: HostId,
        patience: Micros,
        command_metrics: &Rc<CommandMetrics>,
    ) -> Option<Execution> {
        let now = self.broker.now();
        self.out = Some((instance, now));
        self.executions += 1;
        let until = now.saturating_add(patience).min(self.deadline);
        let execution = self.broker.execution(&self.id, instance, until, command_metrics);
        if execution.is_none() {
            self.finished(Outcome::Moot);
        }
        execution
    }

    fn finish(&mut self, outcome: Outcome, ended: bool) {
        let Some((host, since)) = self.out.take() else { return };
        let (call, attempt) = (self.id.clone(), self.executions - 1);
        let elapsed = self.broker.now().saturating_sub(since);
        self.broker.tell(Event::Finished { call, attempt, host, outcome, elapsed, ended });
    }

    fn finished(&mut self, outcome: Outcome) {
        self.finish(outcome, false);
    }

    fn opened(&mut self) {
        if let Some((host, since)) = self.out {
            let elapsed = self.broker.now().saturating_sub(since);
            self.broker.tell(Event::Opened { call: self.id.clone(), host, elapsed });
        }
        self.stand();
    }

    pub(super) fn stand(&mut self) {
        self.stands = true;
        self.broker.state.borrow_mut().standing.push_back(self.id.clone());
    }

    fn ended(&mut self, how: ConnectionEnd) {
        self.over = true;
        let outcome = match how {
            ConnectionEnd::Served => Outcome::Ok,
            ConnectionEnd::Broken => Outcome::Reset,
            ConnectionEnd::Left => Outcome::Cancelled,
        };
        self.finish(outcome, true);
    }

    fn vanish(&mut self) {
        if !std::mem::replace(&mut self.over, true) {
            self.broker.tell(Event::Vanished { call: self.id.clone() });
        }
        self.finish(Outcome::Cancelled, true);
    }

    /// The attempt's end is told before the service client is: never two outstanding.
    async fn gone<C: Client>(mut self, gone: ClientGone, client: &mut C) {
        self.vanish();
        part(gone, client).await
    }

    /// Ends when the service client is to be asked to come again.
    pub async fn move_requested(&mut self) {
        loop {
            match self.heard.recv().await {
                Some(Word::Move) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// A figure that its instance tells on the connection: the load of this one, or, where the settings say so
    /// and it looks like one, how long messages take there. A load is told once when the connection opens.
    pub fn report_load(&mut self, figure: f64) {
        let Some((host, since)) = self.out else { return };
        let now = self.broker.now();
        // Among few balancers others tell of the instance too, and one idle connection must not speak for it.
        let window = if self.broker.many { OPENING } else { SLOW_EVERY };
        let opening = !std::mem::replace(&mut self.loaded, true) && now < since.saturating_add(window);
        if self.broker.delays_told && !opening {
            let mut state = self.broker.state.borrow_mut();
            let delay = state.instances.get_mut(host).and_then(|i| i.pulse.delay(now, figure));
            drop(state);
            if let Some(delay) = delay {
                return self.broker.tell(Event::DelayNote { host, delay });
            }
        }
        self.broker.tell(Event::LoadNote { call: self.id.clone(), load: figure });
    }

    /// A message has been out for so long; whether its connection is to be ended for it. Unless others hear of
    /// the instance meanwhile, the module is told, once a second and instance.
    pub fn report_silence(&self, span: Micros) -> bool {
        let Some((host, _)) = self.out else { return true };
        let now = self.broker.now();
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return span >= SILENCE_TIMEOUT };
            if instance.heard > now.saturating_sub(span) {
                // It works: what is wrong is with this connection, and no reason to leave the instance.
                return span >= ALONE;
            }
            if span < SLOW_EVERY || instance.slow.is_some_and(|told| now < told.saturating_add(SLOW_EVERY)) {
                return span >= SILENCE_TIMEOUT;
            }
            instance.slow = Some(now);
        }
        self.broker.tell(Event::DelayNote { host, delay: span });
        span >= SILENCE_TIMEOUT
    }

    /// A message came back after so long. The module hears of it where it has heard of silence. How long it
    /// took says nothing else: an instance returns it at once however much work is piled up there, and what we
    /// see are delays of our own.
    pub fn report_returned_message(&self, span: Micros) {
        let Some((host, _)) = self.out else { return };
        {
            let mut state = self.broker.state.borrow_mut();
            let Some(instance) = state.instances.get_mut(host) else { return };
            instance.heard = self.broker.now();
            if instance.slow.take().is_none() {
                return;
            }
        }
        self.broker.tell(Event::DelayNote { host, delay: span });
    }
}

impl Drop for Command {
    fn drop(&mut self) {
        // A connection that ends in no other way, even by a bug of ours, must not stay on the books.
        if self.out.is_some() || !self.over {
            self.vanish();
        }
        let mut state = self.broker.state.borrow_mut();
        state.commands.remove(&self.id);
        if self.stands {
            state.standing.retain(|id| *id != self.id);
        }
    }
}
