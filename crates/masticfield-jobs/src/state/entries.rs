//! Encoding of commands as entries of the replicated log.

use super::Command;

/// Maximum number of commands in one entry.
const MAX_COMMANDS: usize = 512;

/// Encodes commands, in order, as entries of at most `max_bytes`.
///
/// A single command that is larger becomes an entry of its own.
///
/// # Panics
///
/// Panics if a command cannot be encoded, which is a bug in its type.
pub fn encode_entries(commands: &[Command], max_bytes: usize) -> Vec<Vec<u8>> {
    let mut entries = Vec::new();
    for commands in commands.chunks(MAX_COMMANDS) {
        encode(commands, max_bytes, &mut entries);
    }
    entries
}

fn encode(commands: &[Command], max_bytes: usize, entries: &mut Vec<Vec<u8>>) {
    let entry = postcard::to_stdvec(commands).expect("commands are plain data");
    if entry.len() > max_bytes && commands.len() > 1 {
        let (first, second) = commands.split_at(commands.len() / 2);
        encode(first, max_bytes, entries);
        encode(second, max_bytes, entries);
    } else {
        entries.push(entry);
    }
}
