//! Tasks with decisions of their own: the fleet's account and the plan for zones. Each member reports to the task's holder, the
//! holder proposes to the record, and a proposal takes effect only once the record has it.

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

/// Log target of the line for each plan that is proposed.
const PROPOSALS_TARGET: &str = "oakdeal::proposals";
/// Maximum number of rows in one usage report; further rows go in further reports.
const MAX_ROWS_PER_REPORT: usize = 32;

impl<K: VoterStorage> Member<K> {
    /// Returns the name of the task's holder by the record.
    fn holder_of(&self, task: &str) -> Option<String> {
        let lease = self.record().leases.get(task)?;
        lease.holder.as_deref()?.split('#').next().map(String::from)
    }

    /// Reports this process's counts since its start to the writer of the account.
    pub fn report_usage(&mut self, now: Micros, rows: &[Row]) {
        let (Some(holder), me) = (self.holder_of(ACCOUNT_TASK), self.peers.local_member().clone()) else {
            return;
        };
        for rows in rows.chunks(MAX_ROWS_PER_REPORT) {
            let report = UsageReport { balancer: me.name.clone(), started: me.started, rows: rows.to_vec() };
            match holder == me.name {
                true => self.account_book.add_report(now, report),
                false => self.send(&holder, &Message::UsageReport(report)),
            }
        }
    }

    /// Writes the page whose number was decided, if this member still holds the task; otherwise the page stays unwritten.
    pub(super) fn write_page(&mut self, now: Micros, number: u64) {
        let Some(token) = self.acting_token(now, ACCOUNT_TASK) else { return };
        let members: Vec<String> = self.peers.members().into_iter().map(|m| m.name).collect();
        let page =
            self.account_book.build_page(now, number, token, &members, self.task_settings.account_interval);
        self.push_event_under(ACCOUNT_TASK, token, Event::AccountPage(page));
    }

    /// Proposes the number of the next page, if this member writes the account and a page is due.
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

    /// Reports this process's view of the zones to the member that makes the plan.
    pub fn report_digest(&mut self, now: Micros, digest: Digest) {
        match self.holder_of(FAILOVER) {
            Some(holder) if holder == self.peers.local_member().name => self.receive_digest(now, digest),
            Some(holder) => self.send(&holder, &Message::Digest(digest)),
            None => {}
        }
    }

    /// Takes a digest for the plan, if this member makes it.
    pub(super) fn receive_digest(&mut self, now: Micros, digest: Digest) {
        let Some(token) = self.acting_token(now, FAILOVER) else { return };
        let Some(planner) = &mut self.planner else { return };
        planner.receive_digest(now, digest.clone());
        self.push_event_under(FAILOVER, token, Event::DigestReceived(digest));
    }

    /// Proposes a plan where one is due, and ends orders that have expired, if this member makes the plan.
    pub(super) fn propose_plan(&mut self, now: Micros) {
        let token = self.acting_token(now, FAILOVER);
        let record = self.record();
        let (old, orders) = (record.plan.clone(), record.orders.clone());
        let Some(planner) = &mut self.planner else { return };
        let Some(token) = token else { return planner.suspend() };
        let (proposed, ended) = planner.advance(now, old.as_ref(), &orders);
        if let Some(plan) = proposed {
            let (serial, renewed) = (plan.serial, plan.renewals);
            tracing::debug!(target: PROPOSALS_TARGET, serial, renewed, to = self.change_recipient(), "a plan is proposed");
            if old.as_ref().is_none_or(|old| old.serial != plan.serial) {
                self.push_event_under(FAILOVER, token, Event::PlanProposed(plan.clone()));
            }
            self.request(RequestBody::Change(Command::Plan { task: FAILOVER.into(), token, plan }), None);
        }
        for (zone, number) in ended.iter().filter_map(|zone| Some((zone, orders.get(zone)?.number))) {
            self.request(RequestBody::Change(Command::Ended { zone: zone.clone(), number }), None);
        }
    }

    /// Proposes an operator's order for a zone, or that it ends (`wish` is `None`).
    pub fn order_zone(&mut self, zone: &str, wish: Option<plan::OrderKind>, lasts_ms: u64) {
        self.request(RequestBody::Change(Command::Order { zone: zone.into(), wish, lasts_ms }), None);
    }

    /// Returns the zones by the plan in the record, one a line; the maker of the plan adds which balancers follow which plan.
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
