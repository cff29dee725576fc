//! Requests begun, counted by usage window and organisation.
//!
//! Each host writes its counts to the store, and tells them to the holder of the
//! reporting duty between two writes; the holder adds them up, seals the sum and reports
//! it. Windows follow true time: a host's wall
//! clock may jump, so the wall time read at the start is carried on by the
//! monotonic clock.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use chervilgate_clock::Time;
use serde::{Deserialize, Serialize};

/// Windows kept on a sheet; older ones have been reported.
const WINDOWS: usize = 5;

/// Other hosts that are needed to tell that this host's time is wrong.
const QUORUM: usize = 2;

/// Difference from the other hosts at which this host's time is taken as wrong: above
/// what a slow link or a busy host adds.
const FAR_OFF: Duration = Duration::from_millis(400);

/// Time for which the other hosts have to disagree: a host that was suspended first
/// reads datagrams that waited for it.
const OFF_SPAN: Duration = Duration::from_secs(2);

/// Time after which what a process told is forgotten: its windows have been reported.
const HEARD_SPAN: Duration = Duration::from_secs(60);

/// Requests begun in one window by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Wall time, carried on by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct TrueTime {
    /// Wall time less monotonic time, in microseconds.
    offset: i128,
    /// Since when the other hosts have disagreed.
    off: Option<Time>,
}

impl TrueTime {
    /// Ties the wall time `wall`, counted from 1970, to `now`.
    pub fn new(now: Time, wall: Duration) -> TrueTime {
        TrueTime { offset: wall.as_micros() as i128 - i128::from(now.as_micros()), off: None }
    }

    /// Wall time at `now`, counted from 1970.
    pub fn at(&self, now: Time) -> Duration {
        let micros = i128::from(now.as_micros()) + self.offset;
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// Follows the median of what other hosts take for true time, where it has been far
    /// off for a while.
    ///
    /// `others` are their times less this host's, in microseconds. Returns the shift.
    pub fn follow(&mut self, now: Time, others: &mut [i64]) -> Option<i64> {
        if others.len() < QUORUM {
            return None;
        }
        let middle = others.len() / 2;
        let median = *others.select_nth_unstable(middle).1;
        if median.unsigned_abs() < FAR_OFF.as_micros() as u64 {
            self.off = None;
            return None;
        }
        let off = *self.off.get_or_insert(now);
        if now.since(off) < OFF_SPAN {
            return None;
        }
        self.off = None;
        self.offset += i128::from(median);
        Some(median)
    }

    /// The window that `now` falls into.
    pub fn window(&self, now: Time, length: Duration) -> u64 {
        (self.at(now).as_micros() / length.as_micros().max(1)) as u64
    }
}

/// One host's counts in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Sheet {
    /// The process that wrote it.
    pub boot: u64,
    /// The window that was current when it was written; earlier ones are complete.
    pub current: u64,
    /// Counts by window.
    pub windows: VecDeque<(u64, Counts)>,
}

impl Sheet {
    /// Counts of one window.
    pub fn window(&self, window: u64) -> Option<&Counts> {
        self.windows.iter().find(|(known, _)| *known == window).map(|(_, counts)| counts)
    }

    fn add(&mut self, window: u64, org: &str, count: u64) {
        let counts = self.counts(window);
        if let Some(known) = counts.get_mut(org) {
            *known += count;
        } else {
            counts.insert(org.to_owned(), count);
        }
        self.drop_old();
    }

    fn counts(&mut self, window: u64) -> &mut Counts {
        let at = self.windows.iter().position(|(known, _)| *known == window);
        let at = at.unwrap_or_else(|| {
            self.windows.push_back((window, Counts::new()));
            self.windows.len() - 1
        });
        &mut self.windows[at].1
    }

    fn drop_old(&mut self) {
        while self.windows.len() > WINDOWS {
            self.windows.pop_front();
        }
    }

    /// Raises counts to those of one window as they were told; they only grow.
    fn raise(&mut self, window: u64, current: u64, told: &Counts) {
        self.current = self.current.max(current);
        let counts = self.counts(window);
        for (org, count) in told {
            let known = counts.entry(org.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.drop_old();
    }
}

/// One window of a sheet, as a host tells it to the holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ToldWindow {
    /// The host.
    pub host: String,
    /// The process.
    pub boot: u64,
    /// The window that is current; earlier ones are complete.
    pub current: u64,
    /// The window.
    pub window: u64,
    /// Its counts.
    pub counts: Counts,
}

/// Sheets as hosts told them since their last writes.
#[derive(Debug, Default)]
pub struct ToldSheets {
    sheets: HashMap<(String, u64), (Time, Sheet)>,
}

impl ToldSheets {
    /// Takes in one window of a host's sheet.
    pub fn hear(&mut self, now: Time, told: &ToldWindow) {
        let key = (told.host.clone(), told.boot);
        let (at, sheet) = self.sheets.entry(key).or_insert_with(|| (now, Sheet::default()));
        *at = now;
        // What is told of the current window says nothing about earlier ones.
        let complete = if told.window < told.current { told.window + 1 } else { 0 };
        sheet.raise(told.window, complete, &told.counts);
        self.sheets.retain(|_, (at, _)| now.since(*at) < HEARD_SPAN);
    }

    /// Adds what was told to the sheets read from the store.
    ///
    /// A process that was started again takes over what its predecessor had written, so
    /// of two processes of one host the higher count holds.
    pub fn add_to(&self, sheets: &mut HashMap<String, Sheet>) {
        for ((host, _), (_, told)) in &self.sheets {
            let sheet = sheets.entry(host.clone()).or_default();
            for (window, counts) in &told.windows {
                sheet.raise(*window, told.current, counts);
            }
        }
    }
}

/// Counts what this host's requests begin.
#[derive(Debug, Default)]
pub struct Meter {
    sheet: Sheet,
    changed: bool,
}

impl Meter {
    /// Nothing counted yet by the process `boot`.
    pub fn new(boot: u64) -> Meter {
        Meter { sheet: Sheet { boot, current: 0, windows: VecDeque::new() }, changed: false }
    }

    /// Counts a request of `org` that began in `window`.
    pub fn count(&mut self, window: u64, org: &str) {
        self.sheet.add(window, org, 1);
        self.changed = true;
    }

    /// Adds what an earlier process of this host had counted.
    pub fn take_over(&mut self, earlier: &Sheet) {
        if earlier.boot == self.sheet.boot {
            return;
        }
        for (window, counts) in &earlier.windows {
            for (org, count) in counts {
                self.sheet.add(*window, org, *count);
            }
        }
        self.sheet.windows.make_contiguous().sort_by_key(|(window, _)| *window);
        self.changed = true;
    }

    /// The sheet, if it or the window changed since the last call.
    pub fn changed(&mut self, current: u64) -> Option<&Sheet> {
        if self.sheet.current != current {
            self.sheet.current = current;
            self.changed = true;
        }
        std::mem::take(&mut self.changed).then_some(&self.sheet)
    }

    /// The window `current` and the one before, to tell the holder.
    pub fn told(&self, host: &str, current: u64) -> impl Iterator<Item = ToldWindow> {
        [current.saturating_sub(1), current].into_iter().map(move |window| ToldWindow {
            host: host.to_owned(),
            boot: self.sheet.boot,
            current,
            window,
            counts: self.sheet.window(window).cloned().unwrap_or_default(),
        })
    }

    /// Adds this process's own counts to the sheets read from the store: its last write
    /// may be old, or its answer lost.
    pub fn add_to(&self, host: &str, current: u64, sheets: &mut HashMap<String, Sheet>) {
        let sheet = sheets.entry(host.to_owned()).or_default();
        sheet.current = sheet.current.max(current);
        for (window, counts) in &self.sheet.windows {
            sheet.raise(*window, current, counts);
        }
    }

    /// Notes that the sheet has still to be written.
    pub fn keep_changed(&mut self) {
        self.changed = true;
    }
}

/// Whether the sheets of all `hosts` hold all of a window.
pub fn is_complete<'a>(
    sheets: &HashMap<String, Sheet>,
    window: u64,
    mut hosts: impl Iterator<Item = &'a str>,
) -> bool {
    hosts.all(|host| sheets.get(host).is_some_and(|sheet| sheet.current > window))
}

/// The sum of one window over all sheets.
pub fn sum(sheets: &HashMap<String, Sheet>, window: u64) -> Counts {
    let mut total = Counts::new();
    for counts in sheets.values().filter_map(|sheet| sheet.window(window)) {
        for (org, count) in counts {
            *total.entry(org.clone()).or_default() += count;
        }
    }
    total
}
