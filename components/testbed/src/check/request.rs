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
    /// Whether it ran since the caller last sent it.
    ran: bool,
    /// Whether it was refused as not run since the caller last sent it.
    refused: bool,
}

/// Checks that answers are whole, that a refused request did not run, and that a
/// request that may not be repeated runs at most once.
#[derive(Debug, Default)]
pub(super) struct Requests {
    requests: BTreeMap<RequestId, Request>,
}

impl Rule for Requests {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match &entry.fact {
            Fact::Requested { request, repeatable, .. } => {
                let known = self.requests.entry(*request).or_default();
                known.once = !repeatable;
                known.ran = false;
                known.refused = false;
            }
            Fact::Ran { request, target } => {
                let known = self.requests.entry(*request).or_default();
                known.runs += 1;
                known.ran = true;
                if known.refused {
                    let what = format!("{request:?} ran at {target} after its refusal");
                    report.add_violation(Promise::TrueRefusal, at, what);
                }
                if known.once {
                    report.observe(Promise::AtMostOnce);
                }
                if known.once && known.runs > 1 {
                    let what = format!("{request:?} ran {} times", known.runs);
                    report.add_violation(Promise::AtMostOnce, at, what);
                }
            }
            Fact::Refused { request, outcome: Outcome::NotRun } => {
                report.observe(Promise::TrueRefusal);
                let known = self.requests.entry(*request).or_default();
                known.refused = true;
                // After this refusal the caller may send a non-repeatable request
                // again under a new id, so a run before its last send counts too.
                if known.ran || (known.once && known.runs > 0) {
                    let what = format!("{request:?} ran before its refusal");
                    report.add_violation(Promise::TrueRefusal, at, what);
                }
            }
            Fact::Answered { request, origin, whole } => {
                report.observe(Promise::WholeAnswer);
                if request != origin || !whole {
                    let what = format!("{request:?} got the answer of {origin:?}, whole: {whole}");
                    report.add_violation(Promise::WholeAnswer, at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that planned changes and stops cut no request.
#[derive(Debug)]
pub(super) struct Stops;

impl Rule for Stops {
    fn visit(&mut self, entry: &Entry, report: &mut Report) {
        let at = entry.at;
        match &entry.fact {
            Fact::Leaving { .. } => report.observe(Promise::NoCut),
            Fact::Cut { request, cause: CutCause::Planned } => {
                report.observe(Promise::NoCut);
                report.add_violation(Promise::NoCut, at, format!("{request:?} was cut"));
            }
            Fact::Stopped { name, running } => {
                report.observe(Promise::NoCut);
                report.observe(Promise::GracefulStop);
                if *running > 0 {
                    let what = format!("{name} was stopped with {running} requests running");
                    report.add_violation(Promise::GracefulStop, at, what);
                }
            }
            _ => {}
        }
    }
}
