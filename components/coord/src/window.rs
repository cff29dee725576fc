//! Usage accounting in windows: entries count, the owner seals and reports.
//!
//! Each entry stores one object per window, a sheet, under its incarnation. The
//! sheet holds the cumulative counts of the entry in the window, and a later
//! state replaces an earlier one, so a repeated flush counts nothing twice. The
//! owner of the windows' shard seals a window by storing the sheets that it
//! found, unless a seal already exists; a seal never changes. Usage that is
//! missing from the seal is counted in the next window. Windows are numbered
//! rather than dated, so no clocks are compared: window `n + 1` opens when
//! window `n` is sealed.
//!
//! Between two flushes an entry sends its sheet to a mirror in another zone,
//! which stores it if the entry dies.

mod meter;
mod mirror;
mod seal;
mod sealer;
mod tally;

pub use self::{
    meter::{FLUSH_INTERVAL, MIRROR_INTERVAL, UsageMeter, UsageMeterAction, UsageMeterActions},
    mirror::{Mirror, MirrorAction, MirrorActions},
    seal::{SealedSheet, UsageSheet, WindowId, WindowSeal, seal_key, sheet_key, sheet_prefix},
    sealer::{SealerAction, SealerActions, WindowSealer},
    tally::{Usage, UsageTotals},
};
