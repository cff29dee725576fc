//! Non-blocking logging to standard output.
//!
//! A background thread writes the lines. Lines are dropped while its queue is full or
//! above the rate limit, and the number of dropped lines is logged. Warnings and errors
//! have a rate limit of their own, so that informational lines cannot crowd them out.

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

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY: usize = 4_096;

/// Rate limit in lines per second for level `info` and below; 40 KB/s at 100 bytes a line.
const INFO_RATE_LIMIT: u32 = 400;

/// Rate limit in lines per second for levels `warn` and `error`.
const ERROR_RATE_LIMIT: u32 = 400;

/// Lines dropped since the process started.
static LINES_LOST: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the process started, by a rate limit or because the queue was full.
pub fn dropped_lines() -> u64 {
    LINES_LOST.load(Ordering::Relaxed)
}

/// Lines that are queued or being written.
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Longest time for which [`flush_logs`] waits for the queued lines. It is several
/// times [`BATCH_INTERVAL`].
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits until the queued lines are written, but not for ever: standard output may be blocked.
pub fn flush_logs() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while UNWRITTEN_LINES.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        thread::sleep(BATCH_INTERVAL / 10);
    }
}

/// Installs the logger; `RUST_LOG` sets the filter, which defaults to `info`.
pub fn init_logging() {
    let (lines, queue) = sync_channel(QUEUE_CAPACITY);
    thread::spawn(move || write_lines(&queue));
    let sink = LineSink { lines };
    let limiter = RateLimiter::new();
    let mut logger = Builder::from_env(Env::default().default_filter_or("info"));
    let logger = logger.target(Target::Pipe(Box::new(sink))).build();
    let level = logger.filter();
    if log::set_boxed_logger(Box::new(RateLimitedLogger { logger, limiter })).is_ok() {
        log::set_max_level(level);
    }
}

/// A logger that drops lines above the rate limit of their level.
struct RateLimitedLogger {
    logger: env_logger::Logger,
    limiter: RateLimiter,
}

impl log::Log for RateLimitedLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.logger.matches(record) && self.limiter.try_acquire(record.level()) {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

/// Limits the lines per second, separately for `warn` and above and for `info` and below.
struct RateLimiter {
    start: Instant,
    second: AtomicU64,
    info_lines: AtomicU64,
    error_lines: AtomicU64,
}

impl RateLimiter {
    fn new() -> RateLimiter {
        RateLimiter {
            start: Instant::now(),
            second: AtomicU64::new(0),
            info_lines: AtomicU64::new(0),
            error_lines: AtomicU64::new(0),
        }
    }

    fn try_acquire(&self, level: Level) -> bool {
        let second = self.start.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.info_lines.store(0, Ordering::Relaxed);
            self.error_lines.store(0, Ordering::Relaxed);
        }
        let (used, limit) = match level {
            Level::Error | Level::Warn => (&self.error_lines, ERROR_RATE_LIMIT),
            _ => (&self.info_lines, INFO_RATE_LIMIT),
        };
        let allowed = used.fetch_add(1, Ordering::Relaxed) < u64::from(limit);
        if !allowed {
            LINES_LOST.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// Queues lines for the writer thread, and drops them while the queue is full.
struct LineSink {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LineSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        UNWRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(bytes.to_vec()).is_err() {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::AcqRel);
            LINES_LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Time for which the writer collects lines into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a line after which the number of dropped lines is logged.
const REPORT_DELAY: Duration = Duration::from_secs(1);

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut reported = 0;
    let mut idle = true;
    loop {
        // Lines dropped after the last write are reported after `REPORT_DELAY`.
        let first = match queue.recv_timeout(if idle { Duration::MAX } else { REPORT_DELAY }) {
            Ok(line) => Some(line),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        idle = first.is_none();
        let mut lines = u64::from(first.is_some());
        let mut text = first.unwrap_or_default();
        if !idle {
            thread::sleep(BATCH_INTERVAL);
        }
        while let Ok(line) = queue.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
        }
        let lost = dropped_lines();
        if lost > reported {
            text.extend_from_slice(format!("lines left out lost={}\n", lost - reported).as_bytes());
            reported = lost;
        }
        // Standard output is closed, so this error cannot be logged.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
        UNWRITTEN_LINES.fetch_sub(lines, Ordering::AcqRel);
    }
}
