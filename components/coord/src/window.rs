//! Usage windows: counted by entries, sealed once, reported once.
//!
//! Each entry keeps one object for each window that it has counted in, named
//! by its incarnation, holding everything it has counted so far; a later state
//! replaces an earlier one, so a repeated flush counts nothing twice. The
//! owner of the windows seals one by writing what it found, if nobody has; a
//! seal never changes. What an entry counted beyond the seal goes into the
//! next window. Windows are numbered, not dated, so no clocks are compared:
//! window `n + 1` is open as soon as window `n` is sealed.
//!
//! Between two flushes an entry sends its state to a mirror in another zone,
//! which writes it when the entry is gone.

mod meter;
mod mirror;
mod seal;
mod sealer;
mod tally;

pub use self::{
    meter::{FLUSH_SPAN, MIRROR_SPAN, Meter, MeterAction, MeterActions},
    mirror::{Mirror, MirrorAction, MirrorActions},
    seal::{Seal, Sealed, Sheet, WindowId, seal_key, sheet_key, sheet_prefix},
    sealer::{Sealer, SealerAction, SealerActions},
    tally::{Tally, Usage},
};
