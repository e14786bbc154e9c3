//! Formatting of results as text.

use crate::outcome::CommandError;
use mastbay_configuration::Difference;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Formats changes, one per line.
pub fn changes(list: &[Difference]) -> String {
    if list.is_empty() {
        return "no change\n".to_owned();
    }
    list.iter().map(|difference| format!("{difference}\n")).collect()
}

/// Formats the status of each queried process with its members, cells and backlog.
pub fn statuses(list: &[(SocketAddr, Result<Value, CommandError>)]) -> String {
    let mut text = String::new();
    for (address, status) in list {
        match status {
            Ok(status) => one_status(&mut text, *address, status),
            Err(error) => line(&mut text, format_args!("{address} no answer: {error}")),
        }
    }
    text
}

fn one_status(text: &mut String, address: SocketAddr, status: &Value) {
    let field = |name: &str| status[name].as_str().unwrap_or("?").to_owned();
    line(
        text,
        format_args!(
            "{address} {role} {process} zone={zone} generation={generation}",
            role = field("role"),
            process = field("process"),
            zone = field("zone"),
            generation = status["generation"],
        ),
    );
    for member in status["members"].as_array().into_iter().flatten() {
        let field = |name: &str| member[name].as_str().unwrap_or("?");
        line(
            text,
            format_args!(
                "  member {} {} zone={} {}",
                field("process"),
                field("role"),
                field("zone"),
                field("state"),
            ),
        );
    }
    for cell in status["cells"].as_array().into_iter().flatten() {
        line(
            text,
            format_args!(
                "  cell {} slots={} in_use={} gateways={}",
                cell["cell"].as_str().unwrap_or("?"),
                cell["slots"],
                cell["in_use"],
                cell["gateways"],
            ),
        );
        for tenant in cell["backlogged"].as_array().into_iter().flatten() {
            line(
                text,
                format_args!(
                    "    {} waiting={} level={} estimate={}",
                    tenant["tenant"].as_str().unwrap_or("?"),
                    tenant["waiting"],
                    tenant["level"],
                    tenant["estimate"],
                ),
            );
        }
    }
    for demand in status["demand"].as_array().into_iter().flatten() {
        line(
            text,
            format_args!(
                "  demand {} scheduler={} waiting={} running={}",
                demand["cell"].as_str().unwrap_or("?"),
                demand["scheduler"].as_str().unwrap_or("none"),
                demand["waiting"],
                demand["running"],
            ),
        );
    }
}

/// Formats reports about a request or a tenant.
pub fn reports(list: &[Value]) -> String {
    let mut text = String::new();
    for report in list {
        if report["request"].is_string() {
            request(&mut text, report);
        } else {
            tenant(&mut text, report);
        }
    }
    text
}

fn request(text: &mut String, report: &Value) {
    line(
        text,
        format_args!(
            "request {} tenant={} cell={}",
            report["request"].as_str().unwrap_or("?"),
            report["tenant"].as_str().unwrap_or("?"),
            report["cell"].as_str().unwrap_or("?"),
        ),
    );
    for event in report["happenings"].as_array().into_iter().flatten() {
        let after = event["after_ms"].as_f64().unwrap_or(0.0);
        let what = event["what"].as_str().unwrap_or("?");
        line(text, format_args!("  {after:10.3} ms  {what}"));
    }
}

fn tenant(text: &mut String, report: &Value) {
    line(text, format_args!("tenant {}", report["tenant"].as_str().unwrap_or("?")));
    for cell in report["cells"].as_array().into_iter().flatten() {
        line(
            text,
            format_args!(
                "  cell {}: place {} of {}, {} waiting, level {} (lowest {}), slots {} of {} in use: {}",
                cell["cell"].as_str().unwrap_or("?"),
                cell["place"],
                cell["backlogged_tenants"],
                cell["waiting"],
                cell["level"],
                cell["lowest_level"],
                cell["in_use"],
                cell["slots"],
                cell["reason"].as_str().unwrap_or("?"),
            ),
        );
    }
}

fn line(text: &mut String, content: std::fmt::Arguments<'_>) {
    // Cannot fail: the target is a string.
    let _ = writeln!(text, "{content}");
}
