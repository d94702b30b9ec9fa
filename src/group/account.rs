//! The fleet's account: one writer for all members, the holder of [`super::ACCOUNT_TASK`]. No I/O.
//!
//! Each member reports to the holder what it has counted since it started, and the holder writes pages of all reports. A page's
//! number is decided in the record before any of its rows is written, so each number has one writer. Rows are counts by process
//! and team that only grow, and a reader takes the latest row of each process and team: a page that is truncated, missing, or
//! written by two holders is not counted twice. Reports that a failed holder had not yet written are sent to the next holder
//! again by the members that counted them; the counts of a process that has ended are in the pages written before.

use super::messages::UsageReport;
use crate::api::Micros;
use crate::contracts::row::Row;
use std::collections::BTreeMap;

/// Maximum number of rows, and of processes, that the holder keeps: reports cannot exhaust its memory.
const MAX_ROWS: usize = 16_384;

/// A page of the fleet's account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPage {
    /// Number of the page.
    pub number: u64,
    /// Token of the lease under which it was written.
    pub token: u64,
    /// Rows with the name and start time of their process.
    pub rows: Vec<(String, u64, Row)>,
    /// Members without a recent report: their latest counts are not in the page.
    pub missing: Vec<String>,
}

/// Reports that this process has received, from which pages are made.
#[derive(Debug, Default)]
pub struct AccountBook {
    /// The latest row by process name, start time and team.
    rows: BTreeMap<(String, u64, String), Row>,
    /// When each process last reported, by name.
    last_report: BTreeMap<String, Micros>,
}

impl AccountBook {
    /// Adds a report, which may be delayed, duplicated or reordered: a row never replaces a later one.
    pub fn add_report(&mut self, now: Micros, report: UsageReport) {
        for row in report.rows {
            let key = (report.balancer.clone(), report.started, row.team.clone());
            let known = self.rows.get(&key);
            if known.map_or(self.rows.len() < MAX_ROWS, |known| row.is_at_least_as_recent_as(known)) {
                self.rows.insert(key, row);
            }
        }
        self.last_report.insert(report.balancer, now);
        while self.last_report.len() > MAX_ROWS {
            self.last_report.pop_first();
        }
    }

    /// Returns the page with this number. Members that have not reported for two intervals are listed as missing.
    pub fn build_page(
        &self,
        now: Micros,
        number: u64,
        token: u64,
        members: &[String],
        interval: Micros,
    ) -> AccountPage {
        let overdue = |name: &&String| self.last_report.get(*name).is_none_or(|at| at + 2 * interval < now);
        let rows = self.rows.iter().map(|((name, started, _), row)| (name.clone(), *started, row.clone()));
        AccountPage {
            number,
            token,
            rows: rows.collect(),
            missing: members.iter().filter(overdue).cloned().collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn report(name: &str, asked: u64) -> UsageReport {
        let row = Row { team: "t".into(), asked, allowed: asked as f64, ..Row::default() };
        UsageReport { balancer: name.into(), started: 1, rows: vec![row] }
    }

    proptest! {
        /// Guards against counts that are lost or doubled when reports are reordered, duplicated and sent to two holders one
        /// after the other: the latest rows of all pages sum to all counts.
        #[test]
        fn latest_rows_of_the_pages_of_two_holders_sum_to_all_counts(
            reports in prop::collection::vec((0usize..4, 0u64..50, any::<bool>()), 1..40), handover in 0usize..40,
        ) {
            let (mut books, mut highest) = ([AccountBook::default(), AccountBook::default()], [None; 4]);
            for (n, (process, asked, duplicate)) in reports.iter().enumerate() {
                let book = &mut books[usize::from(n >= handover)];
                (0..1 + usize::from(*duplicate)).for_each(|_| book.add_report(1, report(&format!("n{process}"), *asked)));
                highest[*process] = highest[*process].max(Some(*asked));
            }
            let mut latest: BTreeMap<(String, u64), Row> = BTreeMap::new();
            for page in [books[1].build_page(2, 2, 2, &[], 1), books[0].build_page(2, 1, 1, &[], 1)] {
                for (name, started, row) in page.rows {
                    let known = latest.entry((name, started)).or_default();
                    if row.is_at_least_as_recent_as(known) {
                        *known = row;
                    }
                }
            }
            prop_assert_eq!(latest.values().map(|row| row.asked).sum::<u64>(), highest.iter().flatten().sum::<u64>());
        }
    }

    /// Guards against a page that looks complete although a member has not reported.
    #[test]
    fn members_without_a_recent_report_are_listed_as_missing() {
        let mut book = AccountBook::default();
        book.add_report(10, report("a", 1));
        book.add_report(50, report("b", 1));
        let all = ["a".to_string(), "b".to_string(), "c".to_string()];
        assert_eq!(book.build_page(60, 1, 1, &all, 10).missing, ["a", "c"]);
    }
}
