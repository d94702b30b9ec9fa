//! Parses `<Proxy balancer://…>` sections of mod_proxy_balancer.

use super::{Balancer, Member, SourceFile};
use winnow::ascii::{space0, space1};
use winnow::combinator::{alt, delimited, separated};
use winnow::token::take_till;
use winnow::{ModalResult, Parser};

/// Parses the arguments of a line, bare or in quotes.
fn arguments<'a>(input: &mut &'a str) -> ModalResult<Vec<&'a str>> {
    let quoted = |q: char| delimited(q, take_till(0.., q), q);
    let argument = alt((quoted('"'), quoted('\''), take_till(1.., [' ', '\t'])));
    delimited(space0, separated(0.., argument, space1), space0).parse_next(input)
}

fn balancer_name(url: &str) -> Option<&str> {
    url.strip_prefix("balancer://").map(|name| name.trim_end_matches('/'))
}

pub fn parse(text: &str) -> SourceFile {
    let mut source = SourceFile::default();
    let mut open_section: Option<Balancer> = None;
    // A backslash at the end of a line continues it on the next.
    let mut lines = text.lines().enumerate();
    while let Some((i, first)) = lines.next() {
        let mut line = first.to_string();
        while line.ends_with('\\') {
            line.pop();
            line.push_str(lines.next().map_or("", |(_, more)| more));
        }
        let (line_number, line) = (i + 1, line.trim());
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        // The tag of a section is parsed as a directive that starts with `<`.
        let directive_text = if line.starts_with('<') { line.trim_end_matches('>') } else { line };
        let Ok(arguments) = arguments.parse(directive_text) else {
            source.report(line_number, format!("cannot be parsed: {line:.60}"));
            continue;
        };
        let directive = arguments[0].to_ascii_lowercase();
        match (directive.as_str(), &mut open_section) {
            ("<proxy", None) => match arguments.get(1).and_then(|url| balancer_name(url)) {
                Some(name) => open_section = Some(Balancer { name: name.into(), ..Balancer::default() }),
                None => source.report(line_number, format!("unsupported section: {line:.60}")),
            },
            ("</proxy", Some(_)) => source.balancers.extend(open_section.take()),
            ("balancermember", Some(balancer)) => {
                if let Some(member) = parse_member(&mut source, line_number, &arguments[1..]) {
                    balancer.members.push(member);
                }
            }
            ("proxyset", Some(balancer)) => {
                for argument in &arguments[1..] {
                    apply_proxy_set(&mut source, line_number, balancer, argument);
                }
            }
            _ => source.report(line_number, format!("unsupported directive: {line:.60}")),
        }
    }
    if let Some(balancer) = open_section {
        source.report(0, format!("the section of balancer {} is not closed", balancer.name));
        source.balancers.push(balancer);
    }
    source
}

fn parse_member(source: &mut SourceFile, line_number: usize, arguments: &[&str]) -> Option<Member> {
    let Some((url, options)) = arguments.split_first() else {
        source.report(line_number, "BalancerMember without an address");
        return None;
    };
    let address = url.split_once("://").map_or(*url, |(_, rest)| rest);
    let address = address.split('/').next().unwrap_or_default();
    let (name, status) = (address.to_string(), Some("ready"));
    let mut member = Member { line: line_number, name, address: address.into(), weight: 1.0, status };
    for option in options {
        let (key, value) = option.split_once('=').unwrap_or((option, ""));
        match key.to_ascii_lowercase().as_str() {
            "loadfactor" => match value.parse() {
                Ok(weight) if weight > 0.0 => member.weight = weight,
                _ => source.report(line_number, format!("loadfactor {value:?} is not a positive number")),
            },
            "route" => member.name = value.into(),
            "status" => {
                let sets_flags = !value.starts_with('-');
                for flag in value.trim_start_matches(['+', '-']).chars().filter(|_| sets_flags) {
                    match flag.to_ascii_uppercase() {
                        'D' | 'S' => member.status = None,
                        'N' => member.status = member.status.and(Some("draining")),
                        other => source.report(line_number, format!("unsupported status {other}")),
                    }
                }
            }
            "connectiontimeout" => match time_ms(value) {
                Some(ms) => {
                    source.connect_timeout_ms = Some(source.connect_timeout_ms.map_or(ms, |t: f64| t.min(ms)))
                }
                None => source.report(line_number, format!("connectiontimeout {value:?} is not a time")),
            },
            _ => source.report(line_number, format!("unsupported option {option}")),
        }
    }
    Some(member)
}

/// Parses a time as Apache writes it, in seconds or with the unit `ms`, and returns it in milliseconds.
fn time_ms(value: &str) -> Option<f64> {
    let ms = match value.strip_suffix("ms") {
        Some(ms) => ms.parse().ok()?,
        None => value.trim_end_matches('s').parse::<f64>().ok()? * 1000.0,
    };
    Some(ms).filter(|ms| ms.is_finite() && *ms > 0.0)
}

fn apply_proxy_set(source: &mut SourceFile, line_number: usize, balancer: &mut Balancer, argument: &str) {
    let (key, value) = argument.split_once('=').unwrap_or((argument, ""));
    match key.to_ascii_lowercase().as_str() {
        // Apache's value does not include the first attempt.
        "maxattempts" => match value.parse::<u32>() {
            Ok(retries) => balancer.attempts = Some(retries.saturating_add(1)),
            Err(_) => source.report(line_number, format!("maxattempts {value:?} is not a number")),
        },
        "timeout" => match time_ms(value) {
            Some(ms) => balancer.timeout_ms = Some(ms),
            None => source.report(line_number, format!("timeout {value:?} is not a time")),
        },
        "lbmethod" => source.report(
            line_number,
            format!("lbmethod {value}: not supported, placement uses consistent hashing"),
        ),
        "stickysession" => {
            source.report(line_number, format!("stickysession {value}: not supported, send the session as the group of a connection (g=)"));
        }
        _ => source.report(line_number, format!("unsupported option {argument}")),
    }
}
