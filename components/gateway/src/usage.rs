//! Usage accounting: started requests, by usage window and organisation.
//!
//! Each host writes its counts to the store, and sends them to the lease holder between
//! two writes. The holder adds them up, seals the sum and reports it. Windows follow
//! wall time. Since a host's system clock may jump, it is read once at the start and
//! advanced by the monotonic clock.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

/// Maximum number of windows in a usage sheet; older ones have been reported.
const MAX_WINDOWS: usize = 5;

/// Minimum number of other hosts for a correction of this host's clock.
const MIN_PEERS: usize = 2;

/// Difference from the other hosts' clocks at which this host's is taken as wrong:
/// above the delay of a slow link or a busy host.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(400);

/// Time for which the other hosts must disagree: a host that was suspended first reads
/// datagrams that were queued meanwhile.
const SKEW_DURATION: Duration = Duration::from_secs(2);

/// Time after which the counts that a process sent are dropped: its windows have been
/// reported by then.
const PEER_SHEET_TTL: Duration = Duration::from_secs(60);

/// Requests started in one window, by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Wall clock that is advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    /// Wall time minus monotonic time, in microseconds.
    offset: i128,
    /// When the other hosts began to disagree; none while they agree.
    skewed_since: Option<Time>,
}

impl WallClock {
    /// Sets the wall time at `now` to `wall`, counted from 1970.
    pub fn new(now: Time, wall: Duration) -> WallClock {
        WallClock {
            offset: wall.as_micros() as i128 - i128::from(now.as_micros()),
            skewed_since: None,
        }
    }

    /// Wall time at `now`, counted from 1970.
    pub fn at(&self, now: Time) -> Duration {
        let micros = i128::from(now.as_micros()) + self.offset;
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// Corrects the clock to the median of the other hosts' clocks, if it has been far
    /// off for a while.
    ///
    /// `others` are their clocks minus this host's, in microseconds. Returns the
    /// correction.
    pub fn correct(&mut self, now: Time, others: &mut [i64]) -> Option<i64> {
        if others.len() < MIN_PEERS {
            return None;
        }
        let middle = others.len() / 2;
        let median = *others.select_nth_unstable(middle).1;
        if median.unsigned_abs() < MAX_CLOCK_SKEW.as_micros() as u64 {
            self.skewed_since = None;
            return None;
        }
        let skew_start = *self.skewed_since.get_or_insert(now);
        if now.since(skew_start) < SKEW_DURATION {
            return None;
        }
        self.skewed_since = None;
        self.offset += i128::from(median);
        Some(median)
    }

    /// Number of the window that contains `now`, counted from 1970.
    pub fn window(&self, now: Time, length: Duration) -> u64 {
        (self.at(now).as_micros() / length.as_micros().max(1)) as u64
    }
}

/// One host's usage counts, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct UsageSheet {
    /// Random number that identifies the process that wrote it.
    pub boot: u64,
    /// The current window when it was written; earlier windows are complete.
    pub current: u64,
    /// Counts by window.
    pub windows: VecDeque<(u64, Counts)>,
}

impl UsageSheet {
    /// The counts of one window.
    pub fn window(&self, window: u64) -> Option<&Counts> {
        self.windows.iter().find(|(known, _)| *known == window).map(|(_, counts)| counts)
    }

    fn add(&mut self, window: u64, org: &str, count: u64) {
        let counts = self.counts_mut(window);
        if let Some(known) = counts.get_mut(org) {
            *known = known.saturating_add(count);
        } else {
            counts.insert(org.to_owned(), count);
        }
        self.evict_old();
    }

    fn counts_mut(&mut self, window: u64) -> &mut Counts {
        let at = self.windows.iter().position(|(known, _)| *known == window);
        let at = at.unwrap_or_else(|| {
            self.windows.push_back((window, Counts::new()));
            self.windows.len() - 1
        });
        &mut self.windows[at].1
    }

    fn evict_old(&mut self) {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
    }

    /// Raises the counts of a window to at least `received`; counts never decrease.
    fn merge_max(&mut self, window: u64, current: u64, received: &Counts) {
        self.current = self.current.max(current);
        let counts = self.counts_mut(window);
        for (org, count) in received {
            let known = counts.entry(org.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.evict_old();
    }
}

/// One window of a usage sheet, as sent to the lease holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerWindow {
    /// Name of the host.
    pub host: String,
    /// Random number that identifies the process.
    pub boot: u64,
    /// The sender's current window; earlier windows are complete.
    pub current: u64,
    /// Number of the window.
    pub window: u64,
    /// The counts of the window.
    pub counts: Counts,
}

/// Usage counts that hosts sent to the lease holder, by host and process.
#[derive(Debug, Default)]
pub struct PeerSheets {
    sheets: HashMap<(String, u64), (Time, UsageSheet)>,
}

impl PeerSheets {
    /// Records one window of a host's usage sheet.
    pub fn record(&mut self, now: Time, received: &PeerWindow) {
        let key = (received.host.clone(), received.boot);
        let (at, sheet) = self.sheets.entry(key).or_insert_with(|| (now, UsageSheet::default()));
        *at = now;
        // A message about the current window does not prove that the counts of earlier windows
        // have arrived.
        let first_incomplete =
            if received.window < received.current { received.window + 1 } else { 0 };
        sheet.merge_max(received.window, first_incomplete, &received.counts);
        self.sheets.retain(|_, (at, _)| now.since(*at) < PEER_SHEET_TTL);
    }

    /// Merges the received counts into the sheets read from the store.
    ///
    /// A restarted process includes what its predecessor had written, so the higher
    /// count of two processes of a host applies.
    pub fn merge_into(&self, sheets: &mut HashMap<String, UsageSheet>) {
        for ((host, _), (_, received)) in &self.sheets {
            let sheet = sheets.entry(host.clone()).or_default();
            for (window, counts) in &received.windows {
                sheet.merge_max(*window, received.current, counts);
            }
        }
    }
}

/// Counts this host's started requests.
#[derive(Debug, Default)]
pub struct UsageMeter {
    sheet: UsageSheet,
    changed: bool,
    /// Whether the counts of an earlier process of this host were added.
    merged: bool,
}

impl UsageMeter {
    /// Starts without counts; `boot` identifies this process.
    pub fn new(boot: u64) -> UsageMeter {
        UsageMeter {
            sheet: UsageSheet { boot, current: 0, windows: VecDeque::new() },
            changed: false,
            merged: false,
        }
    }

    /// Counts a request of `org` that started in `window`.
    pub fn count(&mut self, window: u64, org: &str) {
        self.sheet.add(window, org, 1);
        self.changed = true;
    }

    /// Adds the counts of the process of this host before this one, once: an older copy of the
    /// store may show its sheet again, or one whose counts that sheet contained.
    pub fn merge_predecessor(&mut self, earlier: &UsageSheet) {
        if earlier.boot == self.sheet.boot || self.merged {
            return;
        }
        self.merged = true;
        for (window, counts) in &earlier.windows {
            for (org, count) in counts {
                self.sheet.add(*window, org, *count);
            }
        }
        self.sheet.windows.make_contiguous().sort_by_key(|(window, _)| *window);
        self.changed = true;
    }

    /// Returns the sheet if it or the current window changed since the last call.
    pub fn take_changed(&mut self, current: u64) -> Option<&UsageSheet> {
        if self.sheet.current != current {
            self.sheet.current = current;
            self.changed = true;
        }
        std::mem::take(&mut self.changed).then_some(&self.sheet)
    }

    /// The window `current` and the one before it, to send to the lease holder.
    pub fn recent_windows(&self, host: &str, current: u64) -> impl Iterator<Item = PeerWindow> {
        [current.saturating_sub(1), current].into_iter().map(move |window| PeerWindow {
            host: host.to_owned(),
            boot: self.sheet.boot,
            current,
            window,
            counts: self.sheet.window(window).cloned().unwrap_or_default(),
        })
    }

    /// Merges this process's counts into the sheets read from the store: its last write
    /// may be old, or the reply to it lost.
    pub fn merge_into(&self, host: &str, current: u64, sheets: &mut HashMap<String, UsageSheet>) {
        let sheet = sheets.entry(host.to_owned()).or_default();
        sheet.current = sheet.current.max(current);
        for (window, counts) in &self.sheet.windows {
            sheet.merge_max(*window, current, counts);
        }
    }

    /// Marks the sheet as still to be written.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }
}

/// Whether the sheets of all `hosts` contain the complete window.
pub fn is_window_complete<'a>(
    sheets: &HashMap<String, UsageSheet>,
    window: u64,
    mut hosts: impl Iterator<Item = &'a str>,
) -> bool {
    hosts.all(|host| sheets.get(host).is_some_and(|sheet| sheet.current > window))
}

/// Sums up the counts of a window over all sheets.
pub fn sum_counts(sheets: &HashMap<String, UsageSheet>, window: u64) -> Counts {
    let mut total = Counts::new();
    for counts in sheets.values().filter_map(|sheet| sheet.window(window)) {
        for (org, count) in counts {
            let total = total.entry(org.clone()).or_default();
            *total = total.saturating_add(*count);
        }
    }
    total
}
