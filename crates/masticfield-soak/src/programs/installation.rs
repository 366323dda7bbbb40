//! The programs of an installation.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::SystemTime;

use masticfield_platform_stand_ins::ProgramSettings;
use rustix::process::Signal;
use snafu::ResultExt;

use super::Binaries;
use super::process::Process;
use crate::SoakError;
use crate::error::FileSnafu;
use crate::faults::Program;

/// Last number of the address of the first entry; those of control programs are lower.
const FIRST_ENTRY: u8 = 20;

/// Last number of the address of stand-ins.
const STAND_INS: u8 = 254;

/// Number of bytes that a truncated file loses.
const TRUNCATED_BYTES: u64 = 40;

/// Interval between two announcements of an executor, in milliseconds.
pub(crate) const ANNOUNCE_MS: u64 = 500;

/// Time from a stop signal until the process is killed, in seconds.
pub(crate) const GRACE_S: u64 = 3;

/// Longest lease that an executor grants, in milliseconds.
pub(crate) const MAX_LEASE_MS: u64 = 10_000;

/// Longest time that an executor takes to stop a run, in milliseconds.
pub(crate) const STOP_MS: u64 = 400;

/// Options of an installation.
#[derive(Debug, Clone)]
pub(crate) struct InstallationOptions {
    pub(crate) binaries: Binaries,
    /// Folder of logs and data.
    pub(crate) folder: PathBuf,
    pub(crate) controls: usize,
    pub(crate) entries: usize,
}

/// A program that has ended although nothing was done to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProgramEnd {
    pub(crate) program: Program,
    pub(crate) status: ExitStatus,
}

/// The programs of an installation, which end when it is dropped.
#[derive(Debug)]
pub(crate) struct Installation {
    options: InstallationOptions,
    slots: BTreeMap<Program, Slot>,
}

/// A program and the faults that hold it.
#[derive(Debug)]
struct Slot {
    process: Process,
    settings: ProgramSettings,
    settings_file: PathBuf,
    /// Faults that keep the program from running.
    down: u32,
    paused: u32,
    full: u32,
}

impl Installation {
    /// Starts all programs for the first time.
    pub(crate) fn start(options: InstallationOptions) -> Result<Self, SoakError> {
        let controls = (0..options.controls).map(Program::Control);
        let entries = (0..options.entries).map(Program::Entry);
        let programs: Vec<_> = controls.chain(entries).collect();
        let mut installation = Self {
            options,
            slots: BTreeMap::new(),
        };
        for program in programs {
            let mut slot = installation.slot(program);
            slot.write_settings()?;
            slot.process.start()?;
            slot.settings.first_start = false;
            installation.slots.insert(program, slot);
        }
        Ok(installation)
    }

    /// Address of the host of a program.
    pub(crate) fn ip(program: Program) -> IpAddr {
        match program {
            Program::Control(index) => ip(1 + u8::try_from(index).unwrap_or(0)),
            Program::Entry(index) => {
                ip(FIRST_ENTRY.saturating_add(u8::try_from(index).unwrap_or(0)))
            }
        }
    }

    /// Address of the host of stand-ins.
    pub(crate) fn stand_in_ip() -> IpAddr {
        ip(STAND_INS)
    }

    /// Keeps a program from running: kills it now, or tells it to end.
    pub(crate) fn hold_down(&mut self, program: Program, kill: bool) {
        self.with(program, |slot| {
            slot.down += 1;
            if kill {
                slot.process.kill();
            } else {
                slot.process.signal(Signal::TERM);
            }
        });
    }

    /// Lets a program run again, unless another fault holds it down.
    pub(crate) fn release(&mut self, program: Program) -> Result<(), SoakError> {
        let Some(slot) = self.slots.get_mut(&program) else {
            return Ok(());
        };
        slot.down = slot.down.saturating_sub(1);
        if slot.down > 0 {
            return Ok(());
        }
        slot.process.kill();
        slot.start()
    }

    /// Whether the process of a program has ended.
    pub(crate) fn has_ended(&mut self, program: Program) -> bool {
        let Some(slot) = self.slots.get_mut(&program) else {
            return true;
        };
        slot.process.take_end();
        !slot.process.is_running()
    }

    pub(crate) fn pause(&mut self, program: Program) {
        self.with(program, |slot| {
            slot.paused += 1;
            slot.process.signal(Signal::STOP);
        });
    }

    pub(crate) fn resume(&mut self, program: Program) {
        self.with(program, |slot| {
            slot.paused = slot.paused.saturating_sub(1);
            if slot.paused == 0 {
                slot.process.signal(Signal::CONT);
            }
        });
    }

    /// Changes the seeds in the settings of a program, and tells it so.
    pub(crate) fn reload(&mut self, program: Program) -> Result<(), SoakError> {
        let Some(slot) = self.slots.get_mut(&program) else {
            return Ok(());
        };
        slot.settings.seeds.rotate_left(1);
        slot.write_settings()?;
        slot.process.signal(Signal::HUP);
        Ok(())
    }

    /// Keeps the files of a control program from growing, or lets them grow again.
    pub(crate) fn fill_disk(&mut self, control: usize, full: bool) -> Result<(), SoakError> {
        let Some(slot) = self.slots.get_mut(&Program::Control(control)) else {
            return Ok(());
        };
        slot.full = if full {
            slot.full + 1
        } else {
            slot.full.saturating_sub(1)
        };
        slot.limit_files()
    }

    /// Empties the data folder of a control program, which must be down.
    pub(crate) fn empty_data(&mut self, control: usize) -> Result<(), SoakError> {
        let folder = self.data_folder(Program::Control(control));
        fs::remove_dir_all(&folder).context(FileSnafu { path: &folder })?;
        fs::create_dir(&folder).context(FileSnafu { path: &folder })
    }

    /// Truncates the file of a control program that was written last; the program must be down.
    pub(crate) fn truncate_data(&mut self, control: usize) -> Result<String, SoakError> {
        let program = Program::Control(control);
        let folder = self.data_folder(program);
        let mut newest: Option<(SystemTime, PathBuf, u64)> = None;
        for entry in fs::read_dir(&folder).context(FileSnafu { path: &folder })? {
            let path = entry.context(FileSnafu { path: &folder })?.path();
            let metadata = path.metadata().context(FileSnafu { path: &path })?;
            let modified = metadata.modified().context(FileSnafu { path: &path })?;
            let is_newer = newest.as_ref().is_none_or(|(time, ..)| *time < modified);
            if metadata.is_file() && metadata.len() > 0 && is_newer {
                newest = Some((modified, path, metadata.len()));
            }
        }
        let Some((_, path, length)) = newest else {
            return Ok("no file to truncate".into());
        };
        let left = length.saturating_sub(TRUNCATED_BYTES);
        let file = File::options().write(true).open(&path);
        let file = file.context(FileSnafu { path: &path })?;
        file.set_len(left).context(FileSnafu { path: &path })?;
        Ok(format!("{} from {length} to {left} bytes", path.display()))
    }

    /// Starts the programs that have ended by themselves, and returns them.
    pub(crate) fn restart_ended(&mut self) -> Result<Vec<ProgramEnd>, SoakError> {
        let mut ends = Vec::new();
        for (program, slot) in &mut self.slots {
            if slot.down > 0 {
                continue;
            }
            if let Some(status) = slot.process.take_end() {
                ends.push(ProgramEnd {
                    program: *program,
                    status,
                });
                slot.start()?;
            }
        }
        Ok(ends)
    }

    fn with(&mut self, program: Program, change: impl FnOnce(&mut Slot)) {
        if let Some(slot) = self.slots.get_mut(&program) {
            change(slot);
        }
    }

    fn data_folder(&self, program: Program) -> PathBuf {
        self.options.folder.join(format!("{}-data", name(program)))
    }

    fn slot(&self, program: Program) -> Slot {
        let name = name(program);
        let file = |extension: &str| self.options.folder.join(format!("{name}.{extension}"));
        let (binary, data_dir, index) = match program {
            Program::Control(index) => (
                &self.options.binaries.control,
                Some(self.data_folder(program)),
                index,
            ),
            Program::Entry(index) => (&self.options.binaries.entry, None, index),
        };
        let seeds = (0..self.options.controls).map(|index| Self::ip(Program::Control(index)));
        let settings = ProgramSettings {
            zone: format!("zone-{}", index % 3),
            ip: Self::ip(program),
            seeds: seeds.take(3).collect(),
            first_start: true,
            data_dir,
            lost_hosts: u32::try_from((self.options.controls - 1) / 2).unwrap_or(0),
            announce_ms: ANNOUNCE_MS,
            grace_s: GRACE_S,
            max_lease_ms: MAX_LEASE_MS,
            stop_ms: STOP_MS,
            name: name.clone(),
        };
        let settings_file = file("toml");
        Slot {
            process: Process::new(binary.clone(), settings_file.clone(), file("log")),
            settings,
            settings_file,
            down: 0,
            paused: 0,
            full: 0,
        }
    }
}

impl Slot {
    fn start(&mut self) -> Result<(), SoakError> {
        self.write_settings()?;
        self.process.start()?;
        if self.paused > 0 {
            self.process.signal(Signal::STOP);
        }
        if self.full > 0 {
            return self.limit_files();
        }
        Ok(())
    }

    fn limit_files(&self) -> Result<(), SoakError> {
        // No file is shorter than one byte once it is written.
        self.process.limit_files((self.full > 0).then_some(1))
    }

    fn write_settings(&self) -> Result<(), SoakError> {
        let path: &Path = &self.settings_file;
        fs::write(path, self.settings.text()).context(FileSnafu { path })
    }
}

/// Name of the files of a program.
fn name(program: Program) -> String {
    match program {
        Program::Control(index) => format!("control-{index}"),
        Program::Entry(index) => format!("entry-{index}"),
    }
}

/// An address on loopback that belongs to this process.
fn ip(last: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high | 0x80, low, last))
}
