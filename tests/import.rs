//! Imported worker files give a valid configuration, and every setting that is not imported is reported.

use oakdeal::config::Config;
use oakdeal::import::import;

fn config(text: &str) -> (Config, Vec<String>) {
    let (config, reports) = import(text);
    let reports = reports.into_iter().map(|r| format!("{}: {}", r.line, r.text)).collect();
    (serde_json::from_value(config).expect("a valid configuration"), reports)
}

fn members(config: &Config) -> Vec<(&str, &str, &str, f64)> {
    let all = &config.known.as_ref().unwrap().endpoints;
    all.iter().map(|e| (e.name.as_str(), e.address.as_str(), e.status.as_str(), e.weight.unwrap())).collect()
}

#[test]
fn a_mod_proxy_balancer_section_is_imported_and_the_rest_is_reported_by_line() {
    let (config, reports) = config(
        r#"# desks
ProxyPass "/desk" "balancer://desks"
<Proxy "balancer://desks">
    BalancerMember "ajp://10.0.0.1:8009" loadfactor=3 route=a \
        connectiontimeout=200ms
    BalancerMember http://10.0.0.2:8080/app status=+N retry=5
    BalancerMember http://10.0.0.3:8080 status=D
    BalancerMember http://desk.example:8080
    ProxySet lbmethod=byrequests maxattempts=2 timeout=4
</Proxy>
"#,
    );
    assert_eq!(
        members(&config),
        [("a", "10.0.0.1:8009", "ready", 3.0), ("10.0.0.2:8080", "10.0.0.2:8080", "draining", 1.0)]
    );
    let lines: Vec<&str> = reports.iter().filter_map(|r| r.split(':').next()).collect();
    assert_eq!(lines, ["2", "6", "7", "8", "9"], "{reports:#?}");
    let (settings, names) = config.settings.translate().expect("settings");
    let tenant = &settings.tenants[names.tenant_index("desks").unwrap()];
    assert_eq!((tenant.sends, tenant.deadline), (Some(3), Some(4_000_000)));
    assert_eq!(settings.connect_timeout, 200_000);
}

#[test]
fn a_mod_jk_worker_file_is_imported_and_the_rest_is_reported_by_line() {
    let (config, reports) = config(
        "worker.list=lb,status\nworker.lb.type=lb\nworker.lb.balance_workers=one,two, three\n\
         worker.lb.sticky_session=1\nworker.lb.retries=2\nworker.one.type=ajp13\nworker.one.host=10.0.0.1\n\
         worker.one.port=8009\nworker.one.lbfactor=2\nworker.two.host=10.0.0.2\nworker.two.port=8010\n\
         worker.two.activation=disabled\nworker.two.redirect=one\nworker.status.type=status\nworker.maintain=60\n\
         nonsense\n",
    );
    assert_eq!(
        members(&config),
        [("one", "10.0.0.1:8009", "ready", 2.0), ("two", "10.0.0.2:8010", "draining", 1.0)]
    );
    let lines: Vec<&str> = reports.iter().filter_map(|r| r.split(':').next()).collect();
    assert_eq!(lines, ["2", "4", "13", "14", "15", "16"], "{reports:#?}");
    assert_eq!(config.settings.translate().expect("settings").0.tenants[0].sends, Some(2));
}

#[test]
fn an_empty_or_unrelated_file_is_reported_to_have_no_members() {
    for text in ["", "Listen 80\n", "worker.\n", "<Proxy \"balancer://x\">\n"] {
        let (_, reports) = config(text);
        assert!(reports.iter().any(|r| r.contains("no member")), "{text}: {reports:?}");
    }
}
