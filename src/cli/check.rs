//! `oakdeal check`: checks whether a file is valid.

use crate::config::Config;
use crate::operator::Operator;
use std::path::Path;

/// Checks an operator's file or a platform configuration, and prints the result.
pub fn check(path: &Path, config: Option<&Path>) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    if text.trim_start().starts_with('{') {
        let config = Config::parse(path, &text)?;
        let error = |e: crate::SettingsError| format!("{}: {e}", path.display());
        let (settings, _) = config.settings.translate().map_err(error)?;
        settings.validate().map_err(error)?;
        println!("{}: valid platform configuration", path.display());
        return Ok(());
    }
    let operator = Operator::parse(path, &text).map_err(|e| e.to_string())?;
    if let Some(config) = config {
        let (config, _) = Config::read(config)?;
        let classes = config.settings.classes.as_deref().unwrap_or_default();
        let known = |class: &str| classes.iter().any(|c| c.name.as_deref() == Some(class));
        if let Some(what) = operator.unknown_class(known) {
            return Err(format!("{}: {what}", path.display()));
        }
    }
    for warning in &operator.warnings {
        eprintln!("warning: {warning}");
    }
    let teams = operator.terms.as_ref().map_or(0, |t| t.contracts.len());
    let listener = if operator.xmpp.is_some() { "on" } else { "off" };
    println!("{}: valid operator's file: {teams} contracts, XMPP listener {listener}", path.display());
    Ok(())
}
