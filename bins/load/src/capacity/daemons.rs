//! Memory and CPU time of running entries, several in one process.
//!
//! The entries run against the platform stand-in with the configuration of the design size,
//! without callers. The results depend on the computer.

use std::{fs, io, time::Duration};

use chervilgate_entry::{Entry, Settings};
use chervilgate_standins::{Caller, Deployment, EngineSpec, ZONES};
use chervilgate_wire::CertificateAuthority;
use tokio::time::sleep;

use super::{Point, Series, state::organisations};

/// Numbers of running entries at which memory and CPU time are measured.
const ENTRY_COUNTS: [usize; 4] = [1, 3, 6, 9];
/// Number of organisations in the configuration.
const ORGANISATIONS: usize = 1_200;
/// Time before a measurement in which new entries finish starting up.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of a CPU time measurement.
const CPU_WINDOW: Duration = Duration::from_secs(5);
/// Clock ticks per second; a tick is the unit of CPU time in `/proc/self/stat`.
const TICKS_PER_SEC: f64 = 100.0;

/// Any error while starting or measuring the entries.
type Error = Box<dyn std::error::Error>;

/// Measures memory and CPU time by the number of entries.
///
/// # Errors
/// If an entry does not start or `/proc/self` cannot be read.
pub(super) async fn measure_series() -> Result<Vec<Series>, Error> {
    let mut deployment = Deployment::start(0, 0, &EngineSpec::default())?;
    for object in organisations(ORGANISATIONS).objects().into_values() {
        deployment.config.insert(object);
    }
    deployment.publish().await?;
    let authority = CertificateAuthority::generate()?;
    let (mut memory, mut cpu, mut entries) = (Vec::new(), Vec::new(), Vec::new());
    for count in ENTRY_COUNTS {
        while entries.len() < count {
            entries.push(start(&deployment, &authority, entries.len()).await?);
        }
        sleep(SETTLE_TIME).await;
        let before = cpu_seconds()?;
        sleep(CPU_WINDOW).await;
        let share = (cpu_seconds()? - before) / CPU_WINDOW.as_secs_f64();
        memory.push(Point { size: count as f64, value: resident_bytes()? / f64::from(1 << 20) });
        cpu.push(Point { size: count as f64, value: 100.0 * share });
    }
    for entry in entries {
        entry.kill();
    }
    let series = |name, points| Series {
        name,
        size_name: "entries in one process",
        points,
        design_size: 1.0,
    };
    Ok(vec![series("resident memory, MB", memory), series("processor, % of a core", cpu)])
}

async fn start(
    deployment: &Deployment,
    authority: &CertificateAuthority,
    number: usize,
) -> Result<Entry, Error> {
    let host = format!("h{number}");
    let identity = authority.issue(&host)?;
    let zone = ZONES[number % ZONES.len()];
    let entry =
        Entry::start(Settings::new(&host, zone, deployment.platform.addr(), identity)).await?;
    let caller = Caller::without_key();
    loop {
        let answer = caller.get(entry.addr(), "/readyz").await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            return Ok(entry);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn resident_bytes() -> io::Result<f64> {
    let pages = stat_field("/proc/self/statm", 1)?;
    Ok(pages * 4_096.0)
}

fn cpu_seconds() -> io::Result<f64> {
    Ok((stat_field("/proc/self/stat", 13)? + stat_field("/proc/self/stat", 14)?) / TICKS_PER_SEC)
}

fn stat_field(path: &str, index: usize) -> io::Result<f64> {
    let text = fs::read_to_string(path)?;
    let missing = || {
        io::Error::new(io::ErrorKind::InvalidData, format!("no number in field {index} of {path}"))
    };
    let value = text.split_whitespace().nth(index).ok_or_else(missing)?;
    value.parse().map_err(|_| missing())
}
