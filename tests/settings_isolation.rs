//! Two customers whose settings differ throughout: the settings of one never apply to the other, neither side by side nor
//! when the file of one replaces the file of the other.

mod peers;
use peers::*;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Settings of one customer: an alert may run only once, a feed may be repeated.
const PILOTS: &str = r#"{"Areas":["a","q"],"MyZone":"a","PeersTotal":1,"RegistryMode":"subscribe",
  "Classes":[{"Name":"feed","AimMs":9000,"DeadlineMs":2500,"Effect":"free","Group":"all","Worth":1},
             {"Name":"alert","AimMs":9000,"DeadlineMs":700,"Effect":"once","Worth":9}],
  "Guarantees":{"ColdShare":1.0,"DrainGraceMs":300,"MustAskInMs":10000},
  "PolicyLimits":{"SendCap":2,"ConnectTimeoutMs":300,"RetryAfter":true,"MaxRetryAfterMs":250}}"#;

/// Settings of the other customer: the same class names in another order with other effects, and a third class.
const WARDS: &str = r#"{"Areas":["w","a"],"MyZone":"a","PeersTotal":1,"RegistryMode":"subscribe",
  "Classes":[{"Name":"alert","AimMs":9000,"DeadlineMs":3000,"Effect":"free","Group":"all","Worth":2},
             {"Name":"bed","AimMs":9000,"DeadlineMs":1500,"Effect":"guarded","WindowMs":400,"Worth":5},
             {"Name":"feed","AimMs":9000,"DeadlineMs":900,"Effect":"once","Worth":1}],
  "Guarantees":{"ColdShare":0.5,"ColdMs":4000,"DrainGraceMs":900,"MustAskInMs":5000},
  "PolicyLimits":{"SendCap":4,"ConnectTimeoutMs":800,"RetryAfter":true,"MaxRetryAfterMs":4000}}"#;

/// Starts a customer's balancer with two failing instances, and returns the first lines that they get.
fn balancer_with_failing_instances(settings: &str) -> (Balancer, Receiver<String>) {
    let (reports, reported) = channel();
    let list =
        ["s-00000001", "s-00000002"].map(|name| list_entry(name, failing_instance(reports.clone()), "ready"));
    (Balancer::start_with(&Discovery::without_updates(), &list, None, settings, "text"), reported)
}

/// Returns the answer to a command of a class and the number of its executions.
fn answer_and_executions(
    balancer: &Balancer,
    reported: &Receiver<String>,
    class: &str,
    id: &str,
) -> (String, usize) {
    let answer =
        balancer.connect_client().send_text(&format!("OPEN {id} 2 c={class},d=2000\r\n")).receive_line();
    let executions = reported.try_iter().filter(|first| first.starts_with(&format!("OPEN {id} "))).count();
    (answer, executions)
}

/// Guards against taking the effect from a class of the same name or index of another customer.
#[test]
fn a_class_has_the_effect_from_its_own_customers_settings() {
    let (pilots, at_pilots) = balancer_with_failing_instances(PILOTS);
    let (wards, at_wards) = balancer_with_failing_instances(WARDS);
    for round in 0..3 {
        let id = |what: &str| format!("{what}-{round}");
        assert_eq!(answer_and_executions(&pilots, &at_pilots, "alert", &id("pa")).1, 1, "once");
        assert!(answer_and_executions(&wards, &at_wards, "alert", &id("wa")).1 > 1, "free");
        assert!(answer_and_executions(&pilots, &at_pilots, "feed", &id("pf")).1 > 1, "free");
        assert_eq!(answer_and_executions(&wards, &at_wards, "feed", &id("wf")).1, 1, "once");
    }
    // The third class of one customer is unknown to the other, so the command is not sent twice.
    assert!(answer_and_executions(&pilots, &at_pilots, "bed", "pb").1 <= 1);
}

/// Guards against the deadline or the retry delay of another customer.
#[test]
fn a_client_gets_the_deadline_and_retry_delay_of_its_own_customer() {
    let time_to_answer = |settings: &str, class: &str| {
        let listener = FullListener::new();
        let list = [list_entry("s-00000001", listener.address(), "ready")];
        let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, settings, "text");
        let started = Instant::now();
        let answer =
            balancer.connect_client().send_text(&format!("OPEN 1 2 c={class},d=9000\r\n")).receive_line();
        assert!(answer.starts_with("BUSY") || answer.starts_with("ERR"), "{answer}");
        (started.elapsed(), answer)
    };
    assert!(time_to_answer(PILOTS, "alert").0 < Duration::from_millis(700));
    let (elapsed, _) = time_to_answer(WARDS, "alert");
    assert!(elapsed < Duration::from_millis(3_000), "{elapsed:?}");
    // Without instances every client is refused, with a retry delay of at most what its own customer allows.
    let largest_retry_delay = |settings: &str| {
        let balancer = Balancer::start_with(&Discovery::without_updates(), &[], None, settings, "text");
        let retry_delays = (0..20).map(|n| {
            let answer =
                balancer.connect_client().send_text(&format!("OPEN {n} 2 c=alert,d=400\r\n")).receive_line();
            answer.strip_prefix("BUSY ").expect(&answer).parse::<u64>().unwrap()
        });
        retry_delays.max().unwrap()
    };
    let (pilots, wards) = (largest_retry_delay(PILOTS), largest_retry_delay(WARDS));
    assert!(pilots <= 250 && wards > 250 && wards <= 4_000, "{pilots} and {wards} ms");
}

/// Guards against classes, limits and times from a configuration that replaces the file of a running process: only the
/// discovery address may change while it runs; the log says that the rest is ignored until the next start.
#[test]
fn a_reload_does_not_apply_another_customers_settings() {
    let (pilots, reported) = balancer_with_failing_instances(PILOTS);
    assert_eq!(answer_and_executions(&pilots, &reported, "alert", "before").1, 1);
    pilots.reload_config(|text| text.replace(PILOTS, WARDS));
    assert!(pilots.wait_for_log("ignored until the next start").contains("settings"));
    assert_eq!(
        answer_and_executions(&pilots, &reported, "alert", "after").1,
        1,
        "an alert still runs only once"
    );
    assert!(answer_and_executions(&pilots, &reported, "feed", "fed").1 > 1, "a feed is still repeated");
}

/// Guards against a contract, or its used part, that passes to another customer's team at the same position in the file.
#[test]
fn a_new_operator_file_removes_the_contracts_of_the_old_teams() {
    let (reports, _reported) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", reports), "ready")];
    let teams = |name: &str, connections: u32| {
        format!("[[team]]\nname = \"{name}\"\nconnections = {connections}\n[capacity]\nconnections = {connections}\n")
    };
    let balancer =
        Balancer::start_with(&Discovery::without_updates(), &list, Some(&teams("pilots", 2)), PILOTS, "text");
    let open = |id: &str, team: &str| {
        let mut client = balancer.connect_client();
        let answer = client.send_text(&format!("OPEN {id} 1 c=feed,d=2000,t={team}\r\n")).receive_line();
        (client, answer)
    };
    let open_connections = [open("1", "pilots"), open("2", "pilots")];
    assert!(
        open_connections.iter().all(|(_, answer)| answer.starts_with("UP")),
        "{:?}",
        [&open_connections[0].1, &open_connections[1].1]
    );
    assert!(open("3", "pilots").1.starts_with("BUSY"), "the contract and the capacity are two connections");
    balancer.reload_operator_file(&teams("wards", 5));
    balancer.wait_for_log("configuration read again");
    // The open connections use two of five; the other team's limit of two does not apply.
    let new_connections = ["4", "5", "6"].map(|id| open(id, "wards"));
    assert!(
        new_connections.iter().all(|(_, answer)| answer.starts_with("UP")),
        "{:?}",
        new_connections.map(|(_, a)| a)
    );
    let mut first = open_connections.into_iter().next().unwrap().0;
    assert_eq!(first.send_text("here\r\n").receive_line(), "here", "open connections stay open");
}
