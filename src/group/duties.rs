//! What the holders of tasks do beside acting: the fleet's account and the plan for zones. Each tells the holder what it knows;
//! the holder proposes to the record, and what the record takes is what counts.

use super::folder::VoterStorage;
use super::member::{Event, Member, PendingRequest};
use super::messages::{Message, RequestBody, UsageReport};
use super::record::Command;
use super::ACCOUNT_TASK;
use crate::api::Micros;
use crate::contracts::row::Row;
use crate::failover::evidence::Digest;
use crate::failover::plan;
use crate::failover::TASK as FAILOVER;

/// The target of the log line for each plan that is proposed.
const PROPOSALS_TARGET: &str = "oakdeal::proposals";
/// Rows in one report.
const MAX_ROWS_PER_REPORT: usize = 32;

impl<K: VoterStorage> Member<K> {
    /// Who holds a task by the record.
    fn holder_of(&self, task: &str) -> Option<String> {
        let lease = self.record().leases.get(task)?;
        lease.holder.as_deref()?.split('#').next().map(String::from)
    }

    /// What was counted here since the start, for whoever writes the account.
    pub fn report_usage(&mut self, now: Micros, rows: &[Row]) {
        let (Some(holder), me) = (self.holder_of(ACCOUNT_TASK), self.peers.me().clone()) else { return };
        for rows in rows.chunks(MAX_ROWS_PER_REPORT) {
            let report = UsageReport { balancer: me.name.clone(), started: me.started, rows: rows.to_vec() };
            match holder == me.name {
                true => self.account_book.add_report(now, report),
                false => self.send(&holder, &Message::UsageReport(report)),
            }
        }
    }

    /// A page's number is decided: its rows are written if the task is still ours, and by nobody otherwise.
    pub(super) fn write_page(&mut self, now: Micros, number: u64) {
        let Some(token) = self.acting_token(now, ACCOUNT_TASK) else { return };
        let members: Vec<String> = self.peers.members().into_iter().map(|m| m.name).collect();
        let page =
            self.account_book.build_page(now, number, token, &members, self.task_settings.account_interval);
        self.push_event_under(ACCOUNT_TASK, token, Event::AccountPage(page));
    }

    pub(super) fn propose_page(&mut self, now: Micros) {
        let Some(token) = self
            .acting_token(now, ACCOUNT_TASK)
            .filter(|_| now >= self.last_page + self.task_settings.account_interval)
        else {
            return;
        };
        self.last_page = now;
        let page = self.record().last_page + 1;
        let command = Command::Page { task: ACCOUNT_TASK.into(), token, page };
        self.request(RequestBody::Change(command), Some(PendingRequest::Page(page)));
    }

    /// What is seen of the zones here, for whoever makes the plan.
    pub fn report_digest(&mut self, now: Micros, digest: Digest) {
        match self.holder_of(FAILOVER) {
            Some(holder) if holder == self.peers.me().name => self.receive_digest(now, digest),
            Some(holder) => self.send(&holder, &Message::Digest(digest)),
            None => {}
        }
    }

    /// A digest came.
    pub(super) fn receive_digest(&mut self, now: Micros, digest: Digest) {
        let Some(token) = self.acting_token(now, FAILOVER) else { return };
        let Some(planner) = &mut self.planner else { return };
        planner.receive_digest(now, digest.clone());
        self.push_event_under(FAILOVER, token, Event::DigestReceived(digest));
    }

    /// Makes the plan, where that is its task.
    pub(super) fn propose_plan(&mut self, now: Micros) {
        let token = self.acting_token(now, FAILOVER);
        let record = self.record();
        let (old, orders) = (record.plan.clone(), record.orders.clone());
        let Some(planner) = &mut self.planner else { return };
        let Some(token) = token else { return planner.suspend() };
        let (put, over) = planner.advance(now, old.as_ref(), &orders);
        if let Some(plan) = put {
            let (serial, renewed) = (plan.serial, plan.renewals);
            tracing::debug!(target: PROPOSALS_TARGET, serial, renewed, to = self.change_recipient(), "a plan is proposed");
            if old.as_ref().is_none_or(|old| old.serial != plan.serial) {
                self.push_event_under(FAILOVER, token, Event::PlanProposed(plan.clone()));
            }
            self.request(RequestBody::Change(Command::Plan { task: FAILOVER.into(), token, plan }), None);
        }
        for (zone, number) in over.iter().filter_map(|zone| Some((zone, orders.get(zone)?.number))) {
            self.request(RequestBody::Change(Command::Ended { zone: zone.clone(), number }), None);
        }
    }

    /// An operator wants something of a zone, or nothing any more.
    pub fn order_zone(&mut self, zone: &str, wish: Option<plan::OrderKind>, lasts_ms: u64) {
        self.request(RequestBody::Change(Command::Order { zone: zone.into(), wish, lasts_ms }), None);
    }

    /// The zones as the record has them, a line each; whoever makes the plan knows who follows which.
    pub fn zone_status_text(&self, now: Micros) -> String {
        use std::fmt::Write as _;
        let (record, mut text) = (self.record(), String::new());
        let Some(plan) = &record.plan else { return "no plan\r\n".into() };
        let holder = self.holder_of(FAILOVER).unwrap_or("nobody".into());
        let _ = write!(text, "plan {} renewed={} by={holder}\r\n", plan.serial, plan.renewals);
        for (name, zone) in &plan.zones {
            let (state, then) = (zone.state.name(), zone.fallback.as_deref().unwrap_or("none"));
            let (since, room, part, why) =
                (zone.since, zone.capacity, f64::from(zone.fallback_share) / 10.0, &zone.reason);
            let _ = write!(
                text,
                "zone {name} {state} since={since} room={room} then={then} part={part:.1}% why={why:?}\r\n"
            );
            for (class, shares) in &zone.shares {
                let of: Vec<String> =
                    shares.iter().map(|(to, n)| format!(" {to}={:.1}%", f64::from(*n) / 10.0)).collect();
                let _ = write!(text, "share {name} {class}{}\r\n", of.concat());
            }
        }
        for (zone, order) in &record.orders {
            let _ = write!(text, "order {zone} {:?} for={}s\r\n", order.kind, order.lasts_ms / 1_000);
        }
        if let Some(planner) = self.planner.as_ref().filter(|_| self.acting_token(now, FAILOVER).is_some()) {
            for (serial, names) in planner.followers() {
                let serial = serial.map_or("none".into(), |serial| serial.to_string());
                let _ = write!(text, "follows {serial}: {}\r\n", names.join(" "));
            }
        }
        text
    }
}
