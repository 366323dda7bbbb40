//! The settings checker reports all invalid settings at once.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::settings::{Checker, InvalidSetting};

#[test]
fn every_invalid_setting_is_listed_with_its_flag() {
    let mut checker = Checker::new();
    let listen: Option<SocketAddr> = checker.parse("--listen", "nowhere");
    let zone = checker.require("--zone", None::<&str>);
    let range = Duration::from_secs(1)..=Duration::from_secs(9);
    let wait = checker.duration("--wait", "10s", range);
    checker.relate("--lease", false, "longer than", "--renewal");
    let error = checker.finish().unwrap_err();
    assert_eq!((listen, zone, wait), (None, None, None));
    let flags: Vec<_> = error.problems().iter().map(InvalidSetting::flag).collect();
    assert_eq!(flags, ["--listen", "--zone", "--wait", "--lease"]);
}
