//! Tests of the stored state of a group with real processes: the fleet's account, and voters whose folders are lost, replaced or
//! outdated.

mod crowd;
mod peers;
mod relay;

use peers::*;
use relay::{check, Group, LEASE_SPAN_MS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const ALL: [usize; 5] = [0, 1, 2, 3, 4];

fn start_group(name: &str, sections: &str, format: &'static str) -> Group {
    let group = Group::start_with(name, 5, echo_instance("a", channel().0), &[], sections, format);
    group.wait_until("all members", |group| ALL.iter().all(|&i| group.visible_members(i) == 5));
    group
}

fn number(line: &str, key: &str) -> u64 {
    let (_, rest) = line.split_once(&format!("\"{key}\":")).unwrap_or_else(|| panic!("no {key} in {line}"));
    rest.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
}

/// Guards against a fleet's account in which a page has two writers, or counts are doubled or lost when the writer is killed while
/// it writes: the logs of the writers have every request of the clients exactly once.
#[test]
fn the_account_of_the_fleet_is_complete_after_its_writer_is_killed() {
    let teams = crowd::contracts_file(200, &[("north", 100, ""), ("east", 100, "")]);
    let mut group = start_group("account", &teams, "json");
    let mut clients = Vec::new();
    let mut requests = BTreeMap::from([("north", 0u64), ("east", 0)]);
    let mut open_clients = |group: &Group, to: &[usize], n: usize| {
        for &i in to {
            for team in ["north", "east"] {
                for k in 0..n {
                    let mut client = group.connect_client(i);
                    client.send_text(&format!("OPEN {team}-{i}-{k}-{n} 2 c=watch,d=2000,t={team}\r\n"));
                    assert_eq!(client.receive_line(), "UP 1");
                    *requests.get_mut(team).unwrap() += 1;
                    clients.push(client);
                }
            }
        }
        requests.clone()
    };
    open_clients(&group, &ALL, 3);
    let is_takeover = |line: &str| line.contains("account is ours under token");
    group.wait_for_log(0, &|_, line| is_takeover(line));
    // After three complete pages with rows of all five processes their writer is killed.
    let is_complete = |line: &str| line.contains("page of the account") && line.contains("\"missing\":\"\"");
    let has_rows = |line: &str, n: u64| is_complete(line) && number(line, "rows") == n;
    group.wait_until("pages", |group| group.log().iter().filter(|(_, line)| has_rows(line, 10)).count() >= 3);
    let log = group.log();
    let writer = log.iter().rev().find(|(_, line)| is_takeover(line)).unwrap().0;
    // Its counts are in a page by now; later clients go to the other processes.
    group.kill(writer);
    let mark = group.log_length();
    let others: Vec<usize> = ALL.into_iter().filter(|&i| i != writer).collect();
    let requests = open_clients(&group, &others, 2);
    group.wait_for_log(mark, &|i, line| i != writer && is_takeover(line));
    group.start_process(writer);
    let restarted = group.log_length();
    // Waits for a page that was started after all processes had reported.
    thread::sleep(Duration::from_millis(1_500));
    group.wait_for_log(restarted, &|_, line| is_complete(line));
    let after_reports = group.log_length();
    group.wait_for_log(after_reports, &|_, line| is_complete(line));

    let log = group.log();
    let pages: Vec<(usize, u64, u64)> = log
        .iter()
        .filter(|(_, line)| line.contains("page of the account"))
        .map(|(i, line)| (*i, number(line, "page"), number(line, "token")))
        .collect();
    let numbers: BTreeSet<u64> = pages.iter().map(|page| page.1).collect();
    assert_eq!(numbers.len(), pages.len(), "a page has one writer: {pages:?}");
    assert!(pages.iter().map(|page| page.0).collect::<BTreeSet<_>>().len() >= 2, "{pages:?}");
    // Only the logs of writers are read: their pages hold the counts of all other processes.
    let writers: BTreeSet<usize> = pages.iter().map(|page| page.0).collect();
    let file = std::env::temp_dir().join(format!("oakdeal-fleet-account-{}.log", std::process::id()));
    let text: Vec<&str> = log.iter().filter(|(i, _)| writers.contains(i)).map(|(_, line)| &**line).collect();
    std::fs::write(&file, text.join("\n")).unwrap();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_oakdeal"))
        .args(["contracts", "account"])
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_file(file).unwrap();
    let table = String::from_utf8(out.stdout).unwrap();
    println!("{} pages by {writers:?}\n{table}", pages.len());
    for (team, count) in requests {
        let row = table.lines().find(|line| line.contains(&format!(" {team} "))).unwrap();
        assert_eq!(row.split_whitespace().nth(1), Some(&*count.to_string()), "{team}: {row}");
    }
}

/// Guards against a voter whose lost folder cannot be replaced while the group runs, against a vote by an older copy of a folder,
/// and against a vote by another machine under a name that is taken.
#[test]
fn a_lost_folder_can_be_replaced_at_runtime_and_an_outdated_one_is_rejected() {
    let mut group = start_group("folders", "", "text");
    let (holder, _) = group.wait_for_lease_holder(0);
    // A voter that is not the holder loses its folder: without one it serves and does not vote; with a new one it votes.
    let lost = (0..3).find(|&i| i != holder).unwrap();
    group.kill(lost);
    let copy = group.voter_folder(lost).with_extension("copy");
    std::fs::rename(group.voter_folder(lost), &copy).unwrap();
    let mark = group.log_length();
    group.start_process(lost);
    group.wait_for_log(mark, &|i, line| i == lost && line.contains("does not vote"));
    group.kill(lost);
    group.create_voter_folder(lost, Some(lost));
    group.start_process(lost);
    let seated = |group: &Group, i: usize| group.group_status(i).lines().any(|line| line == "place ours");
    let took = group.wait_until("the seat", |group| seated(group, lost));
    println!("a new folder has its seat after {took:?}");
    // Its vote counts: another voter is killed, and the task still gets a holder.
    let other = (0..3).find(|&i| i != lost && i != holder).unwrap_or(3 - lost);
    group.kill(other);
    let mark = group.log_length();
    (0..5).filter(|&i| i != other).for_each(|i| drop(group.admin_command(i, "GIVEUP")));
    let (_, took) = group.wait_for_lease_holder(mark);
    println!("with the new folder's vote a holder after {took:?}");
    group.start_process(other);
    group.wait_until("all members", |group| ALL.iter().all(|&i| group.visible_members(i) == 5));
    // The old folder is used again, as by another machine under the same name: it has no seat, which is logged.
    group.kill(lost);
    let new = group.voter_folder(lost).with_extension("new");
    std::fs::rename(group.voter_folder(lost), &new).unwrap();
    std::fs::rename(&copy, group.voter_folder(lost)).unwrap();
    let mark = group.log_length();
    group.start_process(lost);
    group.wait_for_log(mark, &|i, line| i == lost && line.contains("votes no more: another has its place"));
    // The new folder is used again, and then an older copy of it.
    group.kill(lost);
    std::fs::remove_dir_all(group.voter_folder(lost)).unwrap();
    let older = group.voter_folder(lost).with_extension("older");
    copy_folder(&new, &older);
    std::fs::rename(&new, group.voter_folder(lost)).unwrap();
    group.start_process(lost);
    group.wait_until("the seat", |group| seated(group, lost));
    let mark = group.log_length();
    (0..5).for_each(|i| drop(group.admin_command(i, "GIVEUP")));
    group.wait_for_lease_holder(mark);
    thread::sleep(Duration::from_millis(2 * LEASE_SPAN_MS));
    group.kill(lost);
    std::fs::remove_dir_all(group.voter_folder(lost)).unwrap();
    std::fs::rename(&older, group.voter_folder(lost)).unwrap();
    let mark = group.log_length();
    group.start_process(lost);
    group.wait_for_log(mark, &|i, line| i == lost && line.contains("its folder is an older copy"));
    let mark = group.log_length();
    (0..5).for_each(|i| drop(group.admin_command(i, "GIVEUP")));
    group.wait_for_lease_holder(mark);
    assert_eq!(check(&group.acts()), Vec::<String>::new());
}

fn copy_folder(from: &std::path::Path, to: &std::path::Path) {
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap().flatten() {
        std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
    }
}
