//! Non-blocking logging to standard output.
//!
//! A background thread writes the lines. Lines are dropped while its queue is full or
//! above the rate limit, and the number of dropped lines is logged. Warnings and errors
//! have a rate limit of their own, so that informational lines cannot crowd them out. So have
//! warnings about a request that was already sent, which requests refused unsent cannot crowd out.

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
use log::{Level, Record};

#[cfg(test)]
mod tests;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY: usize = 4_096;

/// Rate limit in lines per second for level `info` and below; 40 KB/s at 100 bytes a line.
const INFO_RATE_LIMIT: u32 = 400;

/// Rate limit in lines per second for levels `warn` and `error`.
const WARN_RATE_LIMIT: u32 = 400;

/// Rate limit in lines per second for warnings about a request that was already sent.
const SENT_RATE_LIMIT: u32 = 400;

/// Key of the number of times that a line's request was sent.
const SENT_KEY: &str = "sent";

/// Lines dropped since the process started, by the rate limit that dropped them.
static INFO_LOST: AtomicU64 = AtomicU64::new(0);
static WARN_LOST: AtomicU64 = AtomicU64::new(0);
static SENT_LOST: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the process started because the queue was full.
static QUEUE_LOST: AtomicU64 = AtomicU64::new(0);

/// Numbers of dropped lines, by what dropped them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DroppedLines {
    /// By the rate limit of level `info` and below.
    pub info: u64,
    /// By the rate limit of levels `warn` and `error`.
    pub warn: u64,
    /// By the rate limit of warnings about requests that were already sent.
    pub sent: u64,
    /// Of any level, because the queue to the writer was full.
    pub queue: u64,
}

impl DroppedLines {
    /// The number of all dropped lines.
    pub fn total(self) -> u64 {
        self.info + self.warn + self.sent + self.queue
    }
}

/// Lines dropped since the process started.
pub fn dropped_lines() -> DroppedLines {
    DroppedLines {
        info: INFO_LOST.load(Ordering::Relaxed),
        warn: WARN_LOST.load(Ordering::Relaxed),
        sent: SENT_LOST.load(Ordering::Relaxed),
        queue: QUEUE_LOST.load(Ordering::Relaxed),
    }
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

/// A logger that drops lines above their rate limit.
struct RateLimitedLogger {
    logger: env_logger::Logger,
    limiter: RateLimiter,
}

impl log::Log for RateLimitedLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.logger.matches(record) && self.limiter.try_acquire(record) {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

/// Limits the lines per second, separately for `info` and below, for warnings about requests that
/// were sent, and for all others of `warn` and above.
struct RateLimiter {
    start: Instant,
    second: AtomicU64,
    info_lines: AtomicU64,
    warn_lines: AtomicU64,
    sent_lines: AtomicU64,
}

impl RateLimiter {
    fn new() -> RateLimiter {
        RateLimiter {
            start: Instant::now(),
            second: AtomicU64::new(0),
            info_lines: AtomicU64::new(0),
            warn_lines: AtomicU64::new(0),
            sent_lines: AtomicU64::new(0),
        }
    }

    fn try_acquire(&self, record: &Record<'_>) -> bool {
        let second = self.start.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.info_lines.store(0, Ordering::Relaxed);
            self.warn_lines.store(0, Ordering::Relaxed);
            self.sent_lines.store(0, Ordering::Relaxed);
        }
        let (used, limit, lost) = match record.level() {
            Level::Error | Level::Warn if was_sent(record) => {
                (&self.sent_lines, SENT_RATE_LIMIT, &SENT_LOST)
            }
            Level::Error | Level::Warn => (&self.warn_lines, WARN_RATE_LIMIT, &WARN_LOST),
            _ => (&self.info_lines, INFO_RATE_LIMIT, &INFO_LOST),
        };
        let allowed = used.fetch_add(1, Ordering::Relaxed) < u64::from(limit);
        if !allowed {
            lost.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// Whether a line is about a request that was already sent.
fn was_sent(record: &Record<'_>) -> bool {
    let sent = record.key_values().get(SENT_KEY.into());
    sent.and_then(|sent| sent.to_u64()).is_some_and(|sent| sent > 0)
}

/// Queues lines for the writer thread, and drops them while the queue is full.
struct LineSink {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LineSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        UNWRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(escape_line(bytes)).is_err() {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::AcqRel);
            QUEUE_LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The line with its control characters escaped, but for the one at its end: names from outside may hold
/// line breaks, and what follows them would look like a line of its own.
fn escape_line(line: &[u8]) -> Vec<u8> {
    let (text, end) = line.split_at(line.strip_suffix(b"\n").unwrap_or(line).len());
    let mut escaped = Vec::with_capacity(line.len());
    for byte in text {
        if byte.is_ascii_control() {
            escaped.extend(byte.escape_ascii());
        } else {
            escaped.push(*byte);
        }
    }
    escaped.extend_from_slice(end);
    escaped
}

/// Time for which the writer collects lines into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a line after which the number of dropped lines is logged.
const REPORT_DELAY: Duration = Duration::from_secs(1);

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut reported = DroppedLines::default();
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
        if lost != reported {
            text.extend_from_slice(format_lost(reported, lost).as_bytes());
            reported = lost;
        }
        // Standard output is closed, so this error cannot be logged.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
        UNWRITTEN_LINES.fetch_sub(lines, Ordering::AcqRel);
    }
}

fn format_lost(reported: DroppedLines, lost: DroppedLines) -> String {
    format!(
        "lines left out lost={} info={} warn={} sent={} queue={}\n",
        lost.total() - reported.total(),
        lost.info - reported.info,
        lost.warn - reported.warn,
        lost.sent - reported.sent,
        lost.queue - reported.queue,
    )
}
