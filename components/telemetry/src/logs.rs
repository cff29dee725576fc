//! Log lines on standard output that never hold the program up.
//!
//! A thread of its own writes them. When it falls behind, or lines come faster than
//! the ceiling, lines are left out and their number is told. Failures have a ceiling
//! of their own, so that ordinary lines cannot crowd them out.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use env_logger::{Builder, Env, Target};
use log::Level;

/// Lines that wait for the writer.
const WAITING: usize = 4_096;

/// Lines a second of level `info` and below; at a hundred bytes a line 40 KB/s.
const ORDINARY: u32 = 400;

/// Lines a second of levels `warn` and `error`.
const FAILURES: u32 = 400;

/// Lines left out since the start.
static LOST: AtomicU64 = AtomicU64::new(0);

/// Lines left out since the start: above a ceiling, or while the writer was behind.
pub fn lines_lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Lines that wait for the writer or are being written.
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// Longest time for which the end of the program waits for the last lines: several
/// rounds of the writer.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Waits until the last lines are written, or standard output turns out to be blocked.
pub fn finish_logs() {
    let until = Instant::now() + LAST_LINES;
    while UNWRITTEN.load(Ordering::Acquire) > 0 && Instant::now() < until {
        thread::sleep(GATHER / 10);
    }
}

/// Starts logging to standard output; `RUST_LOG` sets what is logged.
pub fn start_logs() {
    let (lines, waiting) = sync_channel(WAITING);
    thread::spawn(move || write_lines(&waiting));
    let sink = LineSink { lines };
    let budget = Budget::new();
    let mut logger = Builder::from_env(Env::default().default_filter_or("info"));
    let logger = logger.target(Target::Pipe(Box::new(sink))).build();
    let level = logger.filter();
    if log::set_boxed_logger(Box::new(Limited { logger, budget })).is_ok() {
        log::set_max_level(level);
    }
}

/// A logger that leaves out lines above the ceiling.
struct Limited {
    logger: env_logger::Logger,
    budget: Budget,
}

impl log::Log for Limited {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.logger.matches(record) && self.budget.spend(record.level()) {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

/// Lines left in the present second.
struct Budget {
    start: Instant,
    second: AtomicU64,
    ordinary: AtomicU64,
    failures: AtomicU64,
}

impl Budget {
    fn new() -> Budget {
        Budget {
            start: Instant::now(),
            second: AtomicU64::new(0),
            ordinary: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        }
    }

    fn spend(&self, level: Level) -> bool {
        let second = self.start.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.ordinary.store(0, Ordering::Relaxed);
            self.failures.store(0, Ordering::Relaxed);
        }
        let (used, limit) = match level {
            Level::Error | Level::Warn => (&self.failures, FAILURES),
            _ => (&self.ordinary, ORDINARY),
        };
        let within = used.fetch_add(1, Ordering::Relaxed) < u64::from(limit);
        if !within {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        within
    }
}

/// Hands whole lines to the writer, and drops them when it is behind.
struct LineSink {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LineSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        UNWRITTEN.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(bytes.to_vec()).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::AcqRel);
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Time between two writes, in which lines gather for one.
const GATHER: Duration = Duration::from_millis(50);

/// Time without a line after which the number of lines left out is told.
const TELLING: Duration = Duration::from_secs(1);

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut told = 0;
    let mut quiet = true;
    loop {
        // Lines that are left out after the last one that is written are told later.
        let first = match waiting.recv_timeout(if quiet { Duration::MAX } else { TELLING }) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        quiet = first.is_none();
        let mut count = u64::from(first.is_some());
        let mut text = first.unwrap_or_default();
        if !quiet {
            thread::sleep(GATHER);
        }
        while let Ok(line) = waiting.try_recv() {
            text.extend_from_slice(&line);
            count += 1;
        }
        let lost = lines_lost();
        if lost > told {
            text.extend_from_slice(format!("lines left out lost={}\n", lost - told).as_bytes());
            told = lost;
        }
        // Nobody is left to tell of a closed standard output.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
        UNWRITTEN.fetch_sub(count, Ordering::AcqRel);
    }
}
