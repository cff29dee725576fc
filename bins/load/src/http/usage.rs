//! Reads CPU time and memory of this process from `/proc/self`.

use std::{fs, time::Duration};

/// Length of a clock tick, the unit of CPU time in `/proc`.
const TICK: Duration = Duration::from_millis(10);

/// CPU time of a group of threads and memory of the whole process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Total CPU time of the threads, accurate to one tick for each thread.
    pub cpu: Duration,
    /// Resident memory of the process, in bytes.
    pub memory: u64,
}

/// Reads the CPU time of the threads named `name` and the memory of the process; values
/// that cannot be read are zero.
pub fn read_usage(name: &str) -> Usage {
    Usage { cpu: thread_cpu_time(name), memory: resident_bytes() }
}

fn thread_cpu_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| thread_ticks(&stat, name)).map(|ticks| TICK * ticks).sum()
}

/// User and system ticks in the line `stat` of a thread; None if its name is not `name`.
fn thread_ticks(stat: &str, name: &str) -> Option<u32> {
    /// Position of the user time after the thread's name.
    const USER_TIME_FIELD: usize = 11;

    let (head, rest) = stat.rsplit_once(')')?;
    if head.split_once('(')?.1 != name {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(USER_TIME_FIELD);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
