//! Processor time and memory of this process, from `/proc/self`.

use std::{fs, time::Duration};

/// Length of a tick of the kernel's processor accounting.
const TICK: Duration = Duration::from_millis(10);

/// Processor time of some threads, and the memory of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time of the threads, to a tick each.
    pub cpu: Duration,
    /// Resident memory of the process, in bytes.
    pub memory: u64,
}

/// The usage of the threads named `name`; zero where it cannot be read.
pub fn read_usage(name: &str) -> Usage {
    Usage { cpu: thread_time(name), memory: resident() }
}

fn thread_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| ticks(&stat, name)).map(|ticks| TICK * ticks).sum()
}

/// User and system ticks of the thread that `stat` describes, if it is named `name`.
fn ticks(stat: &str, name: &str) -> Option<u32> {
    const USER: usize = 11;

    let (head, rest) = stat.rsplit_once(')')?;
    if head.split_once('(')?.1 != name {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(USER);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
