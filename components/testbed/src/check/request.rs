//! Rules about callers' requests.

use std::collections::BTreeMap;

use crate::{
    check::{Promise, Report, Rule},
    history::{CutCause, Entry, Fact, Outcome, RequestId},
};

#[derive(Debug, Default)]
struct Request {
    once: bool,
    runs: usize,
    /// Ran since the caller last sent it.
    ran: bool,
    /// Refused as not run since the caller last sent it.
    denied: bool,
}

/// Answers are whole, refusals true, and some requests run once at most.
#[derive(Debug, Default)]
pub(super) struct Runs {
    requests: BTreeMap<RequestId, Request>,
}

impl Rule for Runs {
    fn judge(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match &entry.fact {
            Fact::Requested { request, repeatable, .. } => {
                let known = self.requests.entry(*request).or_default();
                known.once = !repeatable;
                known.ran = false;
                known.denied = false;
            }
            Fact::Ran { request, target } => {
                let known = self.requests.entry(*request).or_default();
                known.runs += 1;
                known.ran = true;
                if known.denied {
                    let what = format!("{request:?} ran at {target} after its refusal");
                    report.breach(Promise::TrueRefusal, at, what);
                }
                if known.once {
                    report.observe(Promise::AtMostOnce);
                }
                if known.once && known.runs > 1 {
                    let what = format!("{request:?} ran {} times", known.runs);
                    report.breach(Promise::AtMostOnce, at, what);
                }
            }
            Fact::Refused { request, outcome: Outcome::NotRun } => {
                report.observe(Promise::TrueRefusal);
                let known = self.requests.entry(*request).or_default();
                known.denied = true;
                // A caller of a request that may not be repeated would do it
                // anew under another name, so an earlier run counts as well.
                if known.ran || (known.once && known.runs > 0) {
                    let what = format!("{request:?} ran before its refusal");
                    report.breach(Promise::TrueRefusal, at, what);
                }
            }
            Fact::Answered { request, origin, whole } => {
                report.observe(Promise::WholeAnswer);
                if request != origin || !whole {
                    let what = format!("{request:?} got {origin:?}, whole: {whole}");
                    report.breach(Promise::WholeAnswer, at, what);
                }
            }
            _ => {}
        }
    }
}

/// Planned changes and stops cut nothing.
#[derive(Debug)]
pub(super) struct Stops;

impl Rule for Stops {
    fn judge(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match &entry.fact {
            Fact::Leaving { .. } => report.observe(Promise::NoCut),
            Fact::Cut { request, cause: CutCause::Planned } => {
                report.observe(Promise::NoCut);
                report.breach(Promise::NoCut, at, format!("{request:?} was cut"));
            }
            Fact::Stopped { name, running } => {
                report.observe(Promise::NoCut);
                report.observe(Promise::GracefulStop);
                if *running > 0 {
                    let what = format!("{name} was stopped with {running} running");
                    report.breach(Promise::GracefulStop, at, what);
                }
            }
            _ => {}
        }
    }
}
