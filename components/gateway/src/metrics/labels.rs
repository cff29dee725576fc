//! Labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct EndLabel {
    /// How the request or order ended.
    pub(super) end: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct KindLabel {
    pub(super) kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct RepeatLabels {
    pub(super) service: String,
    pub(super) cause: &'static str,
    pub(super) result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct StoreCallLabels {
    pub(super) call: &'static str,
    pub(super) reply: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct StateLabel {
    pub(super) state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct LevelLabel {
    pub(super) level: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct WantedLabels {
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ServiceLabel {
    pub(super) service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct DemandLabels {
    pub(super) service: String,
    pub(super) stage: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct PriorityLabel {
    pub(super) priority: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct YieldLabels {
    pub(super) priority: u8,
    pub(super) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct OrgLabel {
    pub(super) org: String,
}
