//! Durations as operators write them: text with a unit, `"500ms"`, `"3s"`, `"1m 30s"`.

use crate::api::Micros;
use serde::{Deserialize, Deserializer};

/// A duration in microseconds, deserialized from text with a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(pub Micros);

/// Parses a duration; an error says how to correct the text.
pub fn parse(text: &str) -> Result<Span, String> {
    if text.trim().parse::<f64>().is_ok() {
        return Err(format!("{text:?} needs a unit: write \"{0}ms\" or \"{0}s\"", text.trim()));
    }
    let span = humantime::parse_duration(text).map_err(|e| {
        format!("{text:?} is not a duration ({e}): write one like \"500ms\", \"3s\" or \"1m\"")
    })?;
    let us = Micros::try_from(span.as_micros()).ok().filter(|&us| us <= MAX_SPAN);
    us.map(Span).ok_or_else(|| format!("{text:?} is too long: the maximum is one year"))
}

/// Maximum duration in a file: one leap year.
const MAX_SPAN: Micros = 366 * 86_400 * 1_000_000;

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        struct SpanVisitor;
        impl serde::de::Visitor<'_> for SpanVisitor {
            type Value = Span;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a duration as text, like \"500ms\" or \"3s\"")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Span, E> {
                parse(text).map_err(E::custom)
            }
            fn visit_i64<E: serde::de::Error>(self, n: i64) -> Result<Span, E> {
                Err(E::custom(format!("{n} needs a unit: write \"{n}ms\" or \"{n}s\"")))
            }
            fn visit_u64<E: serde::de::Error>(self, n: u64) -> Result<Span, E> {
                Err(E::custom(format!("{n} needs a unit: write \"{n}ms\" or \"{n}s\"")))
            }
            fn visit_f64<E: serde::de::Error>(self, n: f64) -> Result<Span, E> {
                Err(E::custom(format!("{n} needs a unit: write \"{n}s\"")))
            }
        }
        from.deserialize_any(SpanVisitor)
    }
}
