//! All masticfield programs in one process with stand-ins on loopback.
