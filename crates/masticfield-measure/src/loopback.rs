//! Control and entry processes that run in this process and listen on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use masticfield_cli::ControlClient;
use masticfield_control::{ControlArgs, RunningControl};
use masticfield_entry::{EntryArgs, RunningEntry};
use masticfield_node::token::Token;
use snafu::Snafu;
use tempfile::TempDir;

use crate::experiment::ExperimentError;

const OPERATOR_TOKEN: &str = "masticfield-measure-operator";

/// A process has not bound one of its listeners.
#[derive(Debug, Snafu)]
#[snafu(display("a listener has no bound address"))]
pub(crate) struct NoAddress;

/// Starts a control process with its data in `dir`.
pub(crate) async fn start_control(dir: &TempDir) -> Result<RunningControl, ExperimentError> {
    let token = dir.path().join("token");
    std::fs::write(&token, OPERATOR_TOKEN)?;
    let args = ControlArgs::parse_from([
        "masticfield-control".as_ref(),
        "--data-dir".as_ref(),
        dir.path().join("data").as_os_str(),
        "--token-file".as_ref(),
        token.as_os_str(),
        "--entry-listen=127.0.0.1:0".as_ref(),
        "--operator-listen=127.0.0.1:0".as_ref(),
    ]);
    Ok(RunningControl::start(args.check()?).await?)
}

/// Starts one of `count` entries; `peers` are addresses of others.
pub(crate) async fn start_entry(
    number: u16,
    count: u16,
    peers: &[SocketAddr],
    control: &RunningControl,
) -> Result<RunningEntry, ExperimentError> {
    let control = bound_address(control.addresses().address("entry"))?;
    let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
    let args = EntryArgs::parse_from([
        "masticfield-entry",
        &format!("--entry={number}"),
        &format!("--zone=zone-{number}"),
        &format!("--control={control}"),
        &format!("--entry-count={count}"),
        &format!("--peers={}", peers.join(",")),
        "--caller-listen=127.0.0.1:0",
        "--upstream-listen=127.0.0.1:0",
        "--lease-renewal=250ms",
    ]);
    Ok(RunningEntry::start(args.check()?).await?)
}

/// Creates a client of the operators' API that waits at most `timeout` for a response.
pub(crate) fn control_client(
    control: &RunningControl,
    timeout: Duration,
) -> Result<ControlClient, ExperimentError> {
    let operator = bound_address(control.addresses().address("operator"))?;
    let token = Token::new(OPERATOR_TOKEN);
    Ok(ControlClient::new(vec![operator], token, timeout))
}

/// Returns the address of a listener that must be bound.
pub(crate) fn bound_address(address: Option<SocketAddr>) -> Result<SocketAddr, ExperimentError> {
    address.ok_or_else(|| NoAddress.into())
}
