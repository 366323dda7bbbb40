//! A soak from its start to its summary.

mod injector;
mod options;
mod run;
mod summary;

pub use options::SoakOptions;
pub use run::run;
pub use summary::Summary;
