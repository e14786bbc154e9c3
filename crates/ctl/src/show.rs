//! Results as text for people.

use crate::outcome::CommandError;
use mastbay_configuration::Difference;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Changes, one a line.
pub fn changes(list: &[Difference]) -> String {
    if list.is_empty() {
        return "no change\n".to_owned();
    }
    list.iter().map(|difference| format!("{difference}\n")).collect()
}

/// The fleet's state: a line for each process asked, then its members, cells and backlog.
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

/// Accounts of a request or tenant.
pub fn accounts(list: &[Value]) -> String {
    let mut text = String::new();
    for account in list {
        if account["request"].is_string() {
            request(&mut text, account);
        } else {
            tenant(&mut text, account);
        }
    }
    text
}

fn request(text: &mut String, account: &Value) {
    line(
        text,
        format_args!(
            "request {} tenant={} cell={}",
            account["request"].as_str().unwrap_or("?"),
            account["tenant"].as_str().unwrap_or("?"),
            account["cell"].as_str().unwrap_or("?"),
        ),
    );
    for happening in account["happenings"].as_array().into_iter().flatten() {
        let after = happening["after_ms"].as_f64().unwrap_or(0.0);
        let what = happening["what"].as_str().unwrap_or("?");
        line(text, format_args!("  {after:10.3} ms  {what}"));
    }
}

fn tenant(text: &mut String, account: &Value) {
    line(text, format_args!("tenant {}", account["tenant"].as_str().unwrap_or("?")));
    for cell in account["cells"].as_array().into_iter().flatten() {
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
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{content}");
}
