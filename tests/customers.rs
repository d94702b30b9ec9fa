//! Stories of two customers whose settings differ in everything: what one set is never done to the other, side by side, and not
//! when the settings of the one are laid where the other's were.

mod peers;
use peers::*;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// One customer's platform: an alert may go out once, a feed as often as one likes.
const PILOTS: &str = r#"{"Areas":["a","q"],"MyZone":"a","PeersTotal":1,"RegistryMode":"subscribe",
  "Classes":[{"Name":"feed","AimMs":9000,"DeadlineMs":2500,"Effect":"free","Group":"all","Worth":1},
             {"Name":"alert","AimMs":9000,"DeadlineMs":700,"Effect":"once","Worth":9}],
  "Guarantees":{"ColdShare":1.0,"DrainGraceMs":300,"MustAskInMs":10000},
  "PolicyLimits":{"SendCap":2,"ConnectTimeoutMs":300,"RetryAfter":true,"MaxRetryAfterMs":250}}"#;

/// The other's: the same names in another order with other meanings, and a third one.
const WARDS: &str = r#"{"Areas":["w","a"],"MyZone":"a","PeersTotal":1,"RegistryMode":"subscribe",
  "Classes":[{"Name":"alert","AimMs":9000,"DeadlineMs":3000,"Effect":"free","Group":"all","Worth":2},
             {"Name":"bed","AimMs":9000,"DeadlineMs":1500,"Effect":"guarded","WindowMs":400,"Worth":5},
             {"Name":"feed","AimMs":9000,"DeadlineMs":900,"Effect":"once","Worth":1}],
  "Guarantees":{"ColdShare":0.5,"ColdMs":4000,"DrainGraceMs":900,"MustAskInMs":5000},
  "PolicyLimits":{"SendCap":4,"ConnectTimeoutMs":800,"RetryAfter":true,"MaxRetryAfterMs":4000}}"#;

/// A customer's balancer with two instances that fail, and how often they were asked.
fn served(settings: &str) -> (Balancer, Receiver<String>) {
    let (told, heard) = channel();
    let list =
        ["s-00000001", "s-00000002"].map(|name| list_entry(name, failing_instance(told.clone()), "ready"));
    (Balancer::start_with(&Discovery::without_updates(), &list, None, settings, "text"), heard)
}

/// What a command of a class is answered, and how often it was sent out for that.
fn sent(balancer: &Balancer, heard: &Receiver<String>, class: &str, id: &str) -> (String, usize) {
    let answer =
        balancer.connect_client().send_text(&format!("OPEN {id} 2 c={class},d=2000\r\n")).receive_line();
    let sends = heard.try_iter().filter(|first| first.starts_with(&format!("OPEN {id} "))).count();
    (answer, sends)
}

/// Guards against an effect that is taken from a class of the same name or number at another customer.
#[test]
fn a_class_has_the_effect_that_its_own_customer_gave_it() {
    let (pilots, at_pilots) = served(PILOTS);
    let (wards, at_wards) = served(WARDS);
    for round in 0..3 {
        let id = |what: &str| format!("{what}-{round}");
        assert_eq!(sent(&pilots, &at_pilots, "alert", &id("pa")).1, 1, "once");
        assert!(sent(&wards, &at_wards, "alert", &id("wa")).1 > 1, "free");
        assert!(sent(&pilots, &at_pilots, "feed", &id("pf")).1 > 1, "free");
        assert_eq!(sent(&wards, &at_wards, "feed", &id("wf")).1, 1, "once");
    }
    // The third class of the one is none of the other's: no effect is known, so it is not sent twice.
    assert!(sent(&pilots, &at_pilots, "bed", "pb").1 <= 1);
}

/// Guards against a deadline, or a time to come back, of another customer.
#[test]
fn a_client_is_answered_in_the_time_and_told_the_wait_of_its_own_customer() {
    let wait = |settings: &str, class: &str| {
        let shut = FullListener::new();
        let list = [list_entry("s-00000001", shut.address(), "ready")];
        let balancer = Balancer::start_with(&Discovery::without_updates(), &list, None, settings, "text");
        let begun = Instant::now();
        let answer =
            balancer.connect_client().send_text(&format!("OPEN 1 2 c={class},d=9000\r\n")).receive_line();
        assert!(answer.starts_with("BUSY") || answer.starts_with("ERR"), "{answer}");
        (begun.elapsed(), answer)
    };
    assert!(wait(PILOTS, "alert").0 < Duration::from_millis(700));
    let (took, _) = wait(WARDS, "alert");
    assert!(took < Duration::from_millis(3_000), "{took:?}");
    // Nobody is there at all: all are told to come back, as late as their own customer allows at most.
    let back = |settings: &str| {
        let balancer = Balancer::start_with(&Discovery::without_updates(), &[], None, settings, "text");
        let after = (0..20).map(|n| {
            let answer =
                balancer.connect_client().send_text(&format!("OPEN {n} 2 c=alert,d=400\r\n")).receive_line();
            answer.strip_prefix("BUSY ").expect(&answer).parse::<u64>().unwrap()
        });
        after.max().unwrap()
    };
    let (pilots, wards) = (back(PILOTS), back(WARDS));
    assert!(pilots <= 250 && wards > 250 && wards <= 4_000, "{pilots} and {wards} ms");
}

/// Guards against the classes, limits and times of a configuration that was laid in the place of a running one's: only where
/// discovery is may change while clients stand, and the rest is told to be for the next start.
#[test]
fn another_customers_settings_do_not_come_in_by_a_signal() {
    let (pilots, heard) = served(PILOTS);
    assert_eq!(sent(&pilots, &heard, "alert", "before").1, 1);
    pilots.reload_config(|text| text.replace(PILOTS, WARDS));
    assert!(pilots.wait_for_log("ignored until the next start").contains("settings"));
    assert_eq!(sent(&pilots, &heard, "alert", "after").1, 1, "it may go out once still");
    assert!(sent(&pilots, &heard, "feed", "fed").1 > 1, "and the other as often as before");
}

/// Guards against a contract, or what was taken of it, that passes to another customer's team with its place in the file.
#[test]
fn a_new_file_of_teams_leaves_nothing_of_the_old_ones_contracts() {
    let (told, _heard) = channel();
    let list = [list_entry("s-00000001", echo_instance("a", told), "ready")];
    let teams = |name: &str, most: u32| {
        format!("[[team]]\nname = \"{name}\"\nconnections = {most}\n[capacity]\nconnections = {most}\n")
    };
    let balancer =
        Balancer::start_with(&Discovery::without_updates(), &list, Some(&teams("pilots", 2)), PILOTS, "text");
    let open = |id: &str, team: &str| {
        let mut client = balancer.connect_client();
        let answer = client.send_text(&format!("OPEN {id} 1 c=feed,d=2000,t={team}\r\n")).receive_line();
        (client, answer)
    };
    let stand = [open("1", "pilots"), open("2", "pilots")];
    assert!(stand.iter().all(|(_, answer)| answer.starts_with("UP")), "{:?}", [&stand[0].1, &stand[1].1]);
    assert!(open("3", "pilots").1.starts_with("BUSY"), "its contract and the room are two");
    balancer.reload_operator_file(&teams("wards", 5));
    balancer.wait_for_log("configuration read again");
    // Two of five are held by those that stand; nothing of the other team's two is the limit of this one.
    let come = ["4", "5", "6"].map(|id| open(id, "wards"));
    assert!(come.iter().all(|(_, answer)| answer.starts_with("UP")), "{:?}", come.map(|(_, a)| a));
    let mut first = stand.into_iter().next().unwrap().0;
    assert_eq!(first.send_text("here\r\n").receive_line(), "here", "who stood goes on standing");
}
