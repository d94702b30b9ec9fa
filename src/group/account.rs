//! The fleet's account: one writer for all members, under the lease [`super::ACCOUNT_TASK`]. No I/O.
//!
//! Every member tells the holder what it has counted since it started; the holder writes pages of all that it was told. A page's
//! number is decided in the record before a row of it is written, so each number has one writer; its rows are counts that only
//! grow, by process and team, so a page that is cut short, left out, or written twice over by two holders counts nothing
//! twice: of a process and team the latest row is taken. What a holder was told and had not written when it was lost is told
//! to the next one again by those who counted it; a process that has ended since is in the pages written before.

use super::messages::UsageReport;
use crate::api::Micros;
use crate::contracts::row::Row;
use std::collections::BTreeMap;

/// Rows that are held at most, so that nobody can fill a holder's memory.
const MAX_ROWS: usize = 16_384;

/// One page.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPage {
    /// Its number.
    pub number: u64,
    /// Under which token it was written.
    pub token: u64,
    /// Of each process, by name and start: its rows.
    pub rows: Vec<(String, u64, Row)>,
    /// Members that have told nothing lately: what they counted since is not in it.
    pub missing: Vec<String>,
}

/// What the holder was told.
#[derive(Debug, Default)]
pub struct AccountBook {
    rows: BTreeMap<(String, u64, String), Row>,
    last_report: BTreeMap<String, Micros>,
}

impl AccountBook {
    /// A report came, late, doubled or in order.
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

    /// The page with this number, written now.
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
        /// Guards against what is counted twice or lost: reports in any order, doubled, to two holders one after the other; of
        /// all their pages the latest rows sum to what all have counted.
        #[test]
        fn pages_of_any_holders_sum_to_what_was_counted(
            told in prop::collection::vec((0usize..4, 0u64..50, any::<bool>()), 1..40), from in 0usize..40,
        ) {
            let (mut books, mut most) = ([AccountBook::default(), AccountBook::default()], [None; 4]);
            for (n, (who, asked, twice)) in told.iter().enumerate() {
                let book = &mut books[usize::from(n >= from)];
                (0..1 + usize::from(*twice)).for_each(|_| book.add_report(1, report(&format!("n{who}"), *asked)));
                most[*who] = most[*who].max(Some(*asked));
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
            prop_assert_eq!(latest.values().map(|row| row.asked).sum::<u64>(), most.iter().flatten().sum::<u64>());
        }
    }

    /// Guards against a page that passes for whole while a member has told nothing.
    #[test]
    fn who_told_nothing_lately_is_named() {
        let mut book = AccountBook::default();
        book.add_report(10, report("a", 1));
        book.add_report(50, report("b", 1));
        let all = ["a".to_string(), "b".to_string(), "c".to_string()];
        assert_eq!(book.build_page(60, 1, 1, &all, 10).missing, ["a", "c"]);
    }
}
