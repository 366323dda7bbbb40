//! Cases of the review: each starts the programs as processes, with stand-ins for clients,
//! executors and the platform, and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cases;
mod executor;
mod http;
mod installation;
mod json;
mod record;
mod trials;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use record::Record;

/// Outcome of a case that could run.
pub enum Outcome {
    Held,
    Broken,
}

/// Calls a control program as executors and operators do: follows a 307 twice, and waits a second.
pub fn call_control(node: SocketAddr, method: &str, path: &str, body: &str) -> Option<Response> {
    let mut node = node;
    for _ in 0..3 {
        let response = http::call(node, method, path, &[], body, Duration::from_secs(1))?;
        if response.status != 307 {
            return Some(response);
        }
        let location = response
            .headers
            .get("location")?
            .strip_prefix("http://")?
            .to_owned();
        node = location.split('/').next()?.parse().ok()?;
    }
    None
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "core-replaced" => cases::core_replaced(&record, trouble),
        "crashes" => cases::crashes(&record, trouble),
        "long-jobs" => cases::long_jobs(&record, trouble),
        "late-leave" => cases::late_leave(&record, trouble),
        "lasting" => trials::lasting(&record, trouble),
        "inherited" => trials::inherited(&record, trouble),
        "pending" => trials::pending(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let (code, text) = match result {
        Ok(Outcome::Held) => (0, "the rule held".to_owned()),
        Ok(Outcome::Broken) => (1, "the rule was broken".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
