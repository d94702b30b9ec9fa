//! Watches at discovery across changes of its address: which lists are in use, and that the newest address is called
//! until it is watched, in each order in which the addresses answer, refuse, fall silent or return.

mod peers;
use peers::*;
use std::net::SocketAddr;
use std::sync::mpsc::channel;

const LIST: &str = "GET /catalog/members";

/// Request for a watch from this version of the list on.
fn watch_request(from: u64) -> String {
    format!("{LIST}?watch=1&from={from}")
}

/// A balancer that watches a first discovery service, at which every script begins. The list holds one ready instance.
struct Fixture {
    first: Discovery,
    balancer: Balancer,
    instance: SocketAddr,
    address: SocketAddr,
}

impl Fixture {
    /// Starts the balancer with lists that are asked for.
    fn new() -> Fixture {
        Fixture::with_settings(SETTINGS)
    }

    fn with_settings(settings: &str) -> Fixture {
        let (reports, _) = channel();
        let instance = echo_instance("a", reports);
        let first = Discovery::without_updates();
        let list = [list_entry("s-00000001", instance, "ready")];
        let start = StartOptions { settings, with_admin: true, ..StartOptions::default() };
        let balancer = Balancer::launch(&first, &list, start).wait_until_serving();
        assert!(first.next_request().starts_with(&watch_request(1)));
        let address = first.address;
        Fixture { first, balancer, instance, address }
    }

    /// Has the balancer reload a configuration with this address of discovery.
    fn move_discovery(&mut self, address: SocketAddr) {
        let previous = std::mem::replace(&mut self.address, address).to_string();
        self.balancer.reload_config(|text| text.replace(&previous, &address.to_string()));
    }

    /// Moves discovery to `second`, which holds its first call, and on to `third`, which refuses its first; then `second`
    /// answers with this version of the list.
    fn list_late(&mut self, second: &HeldDiscovery, third: &HeldDiscovery, version: u64) {
        self.move_discovery(second.address);
        let late = second.expect_call(LIST);
        self.move_discovery(third.address);
        third.expect_call(LIST).refuse();
        self.balancer.wait_for_log(&format!("the watch at {} ended", third.address));
        late.answer_list(version, &[self.entry("ready")]);
    }

    /// Returns an entry of the only instance.
    fn entry(&self, status: &str) -> String {
        list_entry("s-00000001", self.instance, status)
    }

    /// Asserts that the balancer reports these metrics at some time.
    fn await_metrics(&self, wanted: &[&str]) {
        await_metrics(&self.balancer, wanted);
    }
}

/// Operators see whether discovery is watched, calls that fail, and a list that is not confirmed any more.
#[test]
fn metrics_tell_a_watch_from_failed_calls_and_an_old_list() {
    let second = HeldDiscovery::new();
    let mut fixture = Fixture::new();
    fixture.first.keep_watch_alive();
    let start =
        ["lb.discovery_watching:1|g", "lb.discovery_watches_ended:0|c", "lb.discovery_list_version:1|g"];
    fixture.await_metrics(&start);
    fixture.move_discovery(second.address);
    second.expect_call(LIST).refuse();
    fixture.await_metrics(&["lb.discovery_watching:0|g", "lb.discovery_watches_ended:1|c"]);
    second.expect_call(LIST).answer_list(5, &[fixture.entry("ready")]);
    let _watch = second.expect_call(&watch_request(5));
    fixture.await_metrics(&["lb.discovery_watching:1|g", "lb.discovery_list_version:5|g"]);
    // The watch stays silent: the list is confirmed no more.
    let age_ms =
        |line: &str| line.strip_prefix("lb.discovery_list_age_ms:")?.strip_suffix("|g")?.parse::<u64>().ok();
    let is_old = |text: &str| text.lines().find_map(age_ms).unwrap() >= 100;
    while !is_old(&fixture.balancer.admin_command("DUMP\r\n")) {}
}

/// Watches of two earlier addresses: a list that arrives late from one of them neither ends the calls for the newest
/// address nor its own watch, and its version is not one of the newest address.
#[test]
fn a_late_list_of_an_earlier_address_leaves_both_addresses_watched() {
    for settings in [SETTINGS.to_string(), settings_with_pushed_lists()] {
        let (second, third) = (HeldDiscovery::new(), HeldDiscovery::new());
        let mut fixture = Fixture::with_settings(&settings);
        fixture.list_late(&second, &third, 50);
        let mut watch = second.expect_call(&watch_request(50));
        watch.open_watch();
        // The newest address is called for its whole list: version 50 is not one of its versions.
        third.expect_call(LIST).answer_list(7, &[fixture.entry("ready")]);
        let mut newest = third.expect_call(&watch_request(7));
        newest.open_watch();
        watch.expect_closed();
        fixture.await_metrics(&["lb.discovery_watching:1|g", "lb.discovery_list_version:7|g"]);
    }
}

/// The end of a watch of an earlier address that has sent its list late leaves the next call at the newest one due.
#[test]
fn the_newest_address_is_called_again_after_an_earlier_one_sent_a_late_list_and_closed() {
    let (second, third) = (HeldDiscovery::new(), HeldDiscovery::new());
    let mut fixture = Fixture::new();
    fixture.list_late(&second, &third, 50);
    second.expect_call(&watch_request(50)).refuse();
    third.expect_call(LIST).answer_list(7, &[fixture.entry("draining")]);
    fixture.balancer.wait_for_log("s-00000001 at");
    third.expect_call(&watch_request(7));
}

/// Updates of an earlier address that goes on for ever do not stand for a watch at the newest one.
#[test]
fn updates_of_an_earlier_address_do_not_end_the_calls_for_the_newest() {
    for settings in [SETTINGS.to_string(), settings_with_pushed_lists()] {
        let second = HeldDiscovery::new();
        let mut fixture = Fixture::with_settings(&settings);
        fixture.first.keep_watch_alive();
        fixture.move_discovery(second.address);
        for index in 2..5 {
            second.expect_call(LIST).refuse();
            fixture.balancer.wait_for_log(&format!("the watch at {} ended", second.address));
            let name = format!("s-0000000{index}");
            fixture.first.push(&watch_line(index, &[list_entry(&name, closed_address(), "ready")]));
            fixture.balancer.wait_for_log(&name);
        }
        second.expect_call(LIST).answer_list(1, &[fixture.entry("ready")]);
        let mut watch = second.expect_call(&watch_request(1));
        watch.open_watch();
        fixture.balancer.wait_for_log("s-00000004 is no longer listed");
        fixture.await_metrics(&["lb.discovery_watching:1|g", "lb.discovery_list_version:1|g"]);
    }
}

/// An address that returns is a new one: its whole list counts, also with a lower version, and the calls at the address
/// in between end with it.
#[test]
fn an_address_that_returns_is_watched_from_its_whole_list() {
    let (second, third) = (HeldDiscovery::new(), HeldDiscovery::new());
    let mut fixture = Fixture::new();
    fixture.move_discovery(second.address);
    second.expect_call(LIST).answer_list(50, &[fixture.entry("ready")]);
    let mut earlier = second.expect_call(&watch_request(50));
    earlier.open_watch();
    fixture.move_discovery(third.address);
    let mut between = third.expect_call(LIST);
    fixture.move_discovery(second.address);
    second.expect_call(LIST).answer_list(7, &[fixture.entry("ready")]);
    let mut watch = second.expect_call(&watch_request(7));
    watch.open_watch();
    earlier.expect_closed();
    between.expect_closed();
    watch.push(&watch_line(8, &[fixture.entry("draining")]));
    fixture.await_metrics(&["lb.discovery_watching:1|g", "lb.discovery_list_version:8|g"]);
    third.expect_no_call();
}

/// A new address that falls silent at any step is called again, though the earlier one has closed its watch meanwhile.
#[test]
fn a_new_address_that_falls_silent_is_called_again() {
    for answers_before_silence in 0..3 {
        let second = HeldDiscovery::new();
        let mut fixture = Fixture::new();
        fixture.move_discovery(second.address);
        let mut call = second.expect_call(LIST);
        let mut expected = LIST.to_string();
        if answers_before_silence > 0 {
            call.answer_list(5, &[fixture.entry("ready")]);
            expected = watch_request(5);
            call = second.expect_call(&expected);
        }
        if answers_before_silence > 1 {
            call.open_watch();
        }
        fixture.first.close_watch();
        let mut again = second.expect_call(&expected);
        call.expect_closed();
        if answers_before_silence == 0 {
            again.answer_list(5, &[fixture.entry("ready")]);
            again = second.expect_call(&watch_request(5));
        }
        again.open_watch();
        fixture.await_metrics(&["lb.discovery_watching:1|g", "lb.discovery_list_version:5|g"]);
    }
}
