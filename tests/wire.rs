//! The adapter `oakdeal-drill` as a process, and unusual input on its line protocol.

use oakdeal::wire::Line;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this input and returns its output.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oakdeal-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    // A broken pipe is no error here: the adapter may have stopped at a bad line.
    let _ = child.stdin.take().expect("input").write_all(input.as_bytes());
    child.wait_with_output().expect("ends")
}

const INIT: &str = r#"{"Frame":{"TimeMs":0.0,"frame":1}}
{"Init":{"Node":3,"RngSeed":7,"Env":{"Classes":[{"Name":"a","AimMs":300.0,"DeadlineMs":1800.0,"Effect":"free"}],"Unknown":{"x":[1]},"PeersTotal":null,"Prices":{"Moves":null}}}}
{"BackendsChanged":{"Node":3,"Mode":"C","Gen":1,"Hosts":[{"ReadyAtMs":null,"Status":"Ready","Heft":null,"Host":51,"New":1}]}}
{"EofBatch":{}}
"#;

#[test]
fn a_batch_is_answered_and_end_of_input_is_a_normal_exit() {
    let demand = r#"{"Frame":{"TimeMs":8.25,"frame":2}}
{"Demand":{"Node":3,"Call":"5d3a91c4-88d3-41e8-acb7-1417cecf55d5","Class":"a","LeftMs":240.0,"Billing":0,"PathKey":null}}
{"EofBatch":{}}
"#;
    let out = run_adapter(&format!("{INIT}{demand}"));
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert_eq!(lines[0], r#"{"Done":{"frame":1}}"#);
    assert_eq!(
        lines[1],
        r#"{"HandOff":{"Node":3,"Call":"5d3a91c4-88d3-41e8-acb7-1417cecf55d5","Host":51,"PatienceMs":240.0}}"#
    );
    assert_eq!(lines[2], r#"{"Done":{"frame":2}}"#);
}

#[test]
fn bad_input_gives_one_error_message_with_its_line_and_a_failing_exit_code() {
    let open = "{\"Frame\":{\"TimeMs\":9.0,\"frame\":2}}\n";
    let bad = [
        ("nonsense\n".to_string(), "line 5"),
        (format!("{open}{{\"Surprise\":{{\"Node\":3}}}}\n"), "line 6"),
        (format!("{open}{{\"Demand\":{{\"Node\":3,\"Call\":\"x\"}}}}\n"), "line 6"),
        (format!("{open}{open}"), "expected EofBatch"),
        ("{\"EofBatch\":{}}\n".to_string(), "expected Frame"),
        (format!("{open}{{\"DeadlineHit\":{{\"Node\":9,\"Handle\":1}}}}\n"), "expected Init for node 9"),
        (open.to_string(), "expected EofBatch"),
        (
            format!("{open}{{\"Retire\":{{\"Node\":3}}}}\n{{\"DeadlineHit\":{{\"Node\":3,\"Handle\":1}}}}\n"),
            "line 7",
        ),
    ];
    for (input, expected) in bad {
        let out = run_adapter(&format!("{INIT}{input}"));
        assert!(!out.status.success(), "{input}");
        let message = String::from_utf8(out.stderr).expect("UTF-8");
        assert!(message.contains(expected) && message.lines().count() == 1, "{input}: {message}");
        assert_eq!(String::from_utf8(out.stdout).expect("UTF-8"), "{\"Done\":{\"frame\":1}}\n");
    }
}

#[test]
fn impossible_settings_are_named() {
    let bad = INIT.replace("\"PeersTotal\":null", "\"OverShareWorth\":7.0");
    let out = run_adapter(&bad);
    assert!(!out.status.success());
    assert!(String::from_utf8(out.stderr).expect("UTF-8").contains("over_share_worth"));
}

#[test]
fn an_impossible_retry_budget_is_rejected_with_a_one_line_error() {
    for (budget, expected) in [
        (r#""LookBackMs":-5.0"#, "LookBackMs"),
        (r#""LookBackMs":5.0,"FreeResends":-1"#, "budget.free"),
        (r#""LookBackMs":5.0,"ExtraShare":-0.1"#, "budget.share"),
        (r#""LookBackMs":5.0,"ExtraShare":1e999"#, "number out of range"),
        (r#""LookBackMs":5.0,"ExtraShare":"lots""#, "invalid type"),
    ] {
        let out = run_adapter(&INIT.replace("\"PeersTotal\":null", &format!("\"Guarantees\":{{{budget}}}")));
        let message = String::from_utf8(out.stderr).expect("UTF-8");
        assert!(!out.status.success() && message.lines().count() == 1, "{budget}: {message}");
        assert!(message.contains(expected), "{budget}: {message}");
    }
    for valid in [r#""LookBackMs":0,"FreeResends":3"#, r#""LookBackMs":null"#, r#""LookBackMs":5000"#] {
        let out = run_adapter(&INIT.replace("\"PeersTotal\":null", &format!("\"Guarantees\":{{{valid}}}")));
        assert!(out.status.success(), "{valid}");
    }
}

#[test]
fn absent_and_null_values_are_equivalent() {
    for text in [
        r#"{"Finished":{"Node":1,"Call":"c","CostTimeMs":1.0,"Code":0,"Host":2,"Copy":0,"Ended":true,"ServerStats":null}}"#,
        r#"{"Finished":{"Node":1,"Call":"c","CostTimeMs":1.0,"Code":0,"Host":2,"Copy":0,"Ended":true}}"#,
    ] {
        let line: Line = serde_json::from_str(text).expect("reads");
        assert!(matches!(line, Line::Finished { code: 0, ended: true, .. }));
    }
}

#[test]
fn a_retired_node_starts_empty_when_it_is_initialized_again() {
    let second_init = INIT
        .replace("\"frame\":1", "\"frame\":2")
        .replace("{\"Init\"", "{\"Retire\":{\"Node\":3}}\n{\"Init\"");
    let late_event = r#"{"Frame":{"TimeMs":9.0,"frame":3}}
{"Finished":{"Node":3,"Call":"old","CostTimeMs":1.0,"Code":5,"Host":51,"Copy":0,"Ended":false}}
{"EofBatch":{}}
"#;
    let out = run_adapter(&format!("{INIT}{second_init}{late_event}"));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    assert_eq!(text, "{\"Done\":{\"frame\":1}}\n{\"Done\":{\"frame\":2}}\n{\"Done\":{\"frame\":3}}\n");
}

#[test]
fn settings_for_unlisted_hosts_and_nines_are_read_and_default_to_off() {
    let read = |text: &str| serde_json::from_str::<oakdeal::wire::Env>(text).expect("settings").translate();
    let (defaults, _) = read("{}").expect("nothing stated");
    assert!(!defaults.rules.unlisted_hosts_usable);
    assert_eq!(defaults.nines, None);
    let (stated, _) = read(
        r#"{"Goal":{"Whole":0.8,"NinesPart":0.2,"NinesWanted":2},"Guarantees":{"DroppedStayOpen":true}}"#,
    )
    .expect("stated");
    assert!(stated.rules.unlisted_hosts_usable);
    assert_eq!(stated.nines, Some(oakdeal::Nines { part: 0.2, wanted: 2.0 }));
    for bad in [r#"{"NinesPart":0.2,"NinesWanted":0}"#, r#"{"NinesPart":-1,"NinesWanted":2}"#] {
        let (settings, _) = read(&format!(r#"{{"Goal":{bad}}}"#)).expect("read");
        assert!(oakdeal::PlacementPolicy::new(settings, 1).is_err(), "{bad}");
    }
}
