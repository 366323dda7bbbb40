//! Minimal release notes.

use masticfield_core::note::ReleaseNote;

/// A note with two pools, two hosts and a job.
pub fn first_note() -> ReleaseNote {
    let text = r#"
number = 1
builds_on = 0
summary = "first"
[added]
pools = [{ name = "p0", hosts = 1 }, { name = "p1", hosts = 1 }]
teams = [{ name = "t", cores = 9, memory_gb = 9 }]
jobs = [{ name = "j0", pool = "p0", team = "t", size = { millicores = 1 }, tasks = 1 }]
hosts = [
  { name = "h0", region = "r", zone = "z", rack = "k", cores = 1, memory_gb = 1 },
  { name = "h1", region = "r", zone = "z", rack = "k", cores = 1, memory_gb = 1 },
]
"#;
    ReleaseNote::from_toml(text).unwrap()
}

/// A note that builds on `builds_on` and adds one pool.
pub fn note(number: u64, builds_on: u64, pool: &str) -> ReleaseNote {
    let text = format!(
        "number = {number}\nbuilds_on = {builds_on}\nsummary = \"adds {pool}\"\n\
         [added]\npools = [{{ name = \"{pool}\", hosts = 1 }}]\n"
    );
    ReleaseNote::from_toml(&text).unwrap()
}
