//! Implementation of the commands.

use crate::apply::{Applied, ApplyError, apply, read_current};
use crate::arguments::{Apply, Arguments, Command, Diff, Explain, Status, Validate};
use crate::fleet::Fleet;
use crate::outcome::{CommandError, report};
use crate::show;
use crate::store::PlatformStore;
use mastbay_configuration::{Generation, differences, load_directory};
use mastbay_object_store::Platform;
use mastbay_types::RequestId;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Result of a command as JSON and as text.
type CommandOutput = (Value, String);

/// Timeout of each request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which `diff` retries while the platform does not answer.
const DIFF_RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the command and prints its result.
pub async fn run(arguments: Arguments) -> ExitCode {
    let result = match arguments.command {
        Command::Validate(arguments) => validate(&arguments),
        Command::Diff(arguments) => diff(&arguments).await,
        Command::Apply(arguments) => apply_directory(arguments).await,
        Command::Status(arguments) => status(arguments).await,
        Command::Explain(arguments) => explain(arguments).await,
    };
    report(arguments.output, result)
}

fn validate(arguments: &Validate) -> Result<CommandOutput, CommandError> {
    let configuration = load_directory(&arguments.directory).map_err(CommandError::Directory)?;
    let (tenants, services, backends) =
        (configuration.tenants.len(), configuration.services.len(), configuration.backends.len());
    let value = json!({ "tenants": tenants, "services": services, "backends": backends });
    let text = format!("valid: {tenants} tenants, {services} services, {backends} back ends\n");
    Ok((value, text))
}

async fn diff(arguments: &Diff) -> Result<CommandOutput, CommandError> {
    let wanted = load_directory(&arguments.directory).map_err(CommandError::Directory)?;
    let store = store(arguments.platform, DIFF_RETRY_TIMEOUT);
    let current = read_current(&store).await.map_err(CommandError::Apply)?;
    let changes = differences(&current.configuration, &wanted);
    let value = json!({ "generation": current.generation(), "changes": changes });
    Ok((value, show::changes(&changes)))
}

async fn apply_directory(arguments: Apply) -> Result<CommandOutput, CommandError> {
    let wanted = load_directory(&arguments.directory).map_err(CommandError::Directory)?;
    let store = store(arguments.platform, Duration::from_secs(arguments.patience));
    let current = read_current(&store).await.map_err(CommandError::Apply)?;
    if let Some(expected) = arguments.expect
        && current.generation() != Generation(expected)
    {
        let (found, change) = (current.generation(), Vec::new());
        return Err(CommandError::Apply(ApplyError::Conflict { found, change }));
    }
    let changes = differences(&current.configuration, &wanted);
    let apply_id = RequestId::generate(&mut UnwrapErr(SysRng)).to_string();
    let applied = apply(&store, &current, &wanted, apply_id).await.map_err(CommandError::Apply)?;
    let (generation, result) = match applied {
        Applied::Accepted(generation) => (generation, "accepted"),
        Applied::Unchanged(generation) => (generation, "unchanged"),
    };
    let mut value = json!({ "generation": generation, "result": result, "changes": changes });
    let mut text = format!("{}{result}: generation {generation}\n", show::changes(&changes));
    if !arguments.admin.is_empty() {
        let took = Fleet::new(arguments.admin)?.wait_in_force(generation).await?;
        value["in_force_after_ms"] = json!(took.as_millis() as u64);
        text.push_str(&format!("in force everywhere asked after {} ms\n", took.as_millis()));
    }
    Ok((value, text))
}

async fn status(arguments: Status) -> Result<CommandOutput, CommandError> {
    let mut statuses = Fleet::new(arguments.admin)?.statuses().await;
    let text = show::statuses(&statuses);
    if statuses.iter().all(|(_, status)| status.is_err()) {
        return Err(statuses.swap_remove(0).1.err().unwrap_or(CommandError::NoAdmin));
    }
    let processes: Vec<Value> = statuses
        .into_iter()
        .map(|(address, status)| match status {
            Ok(status) => json!({ "admin": address, "status": status }),
            Err(error) => json!({ "admin": address, "error": error.to_string() }),
        })
        .collect();
    Ok((Value::from(processes), text))
}

async fn explain(arguments: Explain) -> Result<CommandOutput, CommandError> {
    let reports = Fleet::new(arguments.admin)?.explain(&arguments.subject).await?;
    let text = show::reports(&reports);
    Ok((Value::from(reports), text))
}

fn store(address: SocketAddr, timeout: Duration) -> PlatformStore {
    PlatformStore::new(Platform::new(address, PLATFORM_TIMEOUT), timeout)
}
