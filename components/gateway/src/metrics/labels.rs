//! Labels of metrics.

use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

/// A name from outside, which the library writes as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LabelText(String);

impl LabelText {
    pub(super) fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for LabelText {
    fn from(text: &str) -> LabelText {
        LabelText(text.to_owned())
    }
}

impl EncodeLabelValue for LabelText {
    /// Escapes what the text format of metrics reserves.
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        for char in self.0.chars() {
            match char {
                '\\' => encoder.write_str("\\\\")?,
                '"' => encoder.write_str("\\\"")?,
                '\n' => encoder.write_str("\\n")?,
                char => encoder.write_char(char)?,
            }
        }
        Ok(())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct BuildLabel {
    pub(super) build: LabelText,
}

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
    pub(super) service: LabelText,
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
    pub(super) service: LabelText,
    pub(super) zone: LabelText,
    pub(super) kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ServiceLabel {
    pub(super) service: LabelText,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct DemandLabels {
    pub(super) service: LabelText,
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
    pub(super) org: LabelText,
}
