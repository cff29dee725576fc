//! Splits request paths into segments and rejects ambiguous paths.
//!
//! A target may normalize `/a//b`, `/a/./b` or `/%61/b` to `/a/b`. Such a path
//! would bypass a route that is matched on the text alone, so paths that a target
//! might interpret in more than one way are not split.

use smallvec::SmallVec;

/// Segments of a path; up to 8 are stored inline.
pub(crate) type Segments<'a> = SmallVec<[&'a str; 8]>;

/// The segments of `path` without its query; `None` if the path is ambiguous.
pub(crate) fn split_path(path: &str) -> Option<Segments<'_>> {
    let path = path.split_once(['?', '#']).map_or(path, |(path, _)| path);
    let inner = path.strip_prefix('/')?;
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    if inner.is_empty() {
        return Some(Segments::new());
    }
    let segments: Segments<'_> = inner.split('/').collect();
    segments.iter().all(|segment| is_unambiguous(segment)).then_some(segments)
}

fn is_unambiguous(segment: &str) -> bool {
    let empty_or_dot = matches!(segment, "" | "." | "..");
    !empty_or_dot && !segment.contains(['\\', ';']) && !has_ambiguous_escape(segment)
}

/// Whether an escape is invalid, encodes an unreserved character, or encodes a
/// character that some targets treat specially, such as a separator.
fn has_ambiguous_escape(segment: &str) -> bool {
    let mut rest = segment;
    while let Some((_, tail)) = rest.split_once('%') {
        let Some(byte) = tail.get(..2).and_then(|hex| u8::from_str_radix(hex, 16).ok()) else {
            return true;
        };
        let special = matches!(byte, b'/' | b'\\' | b'%' | b';' | 0);
        let unreserved = byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~');
        if special || unreserved {
            return true;
        }
        rest = &tail[2..];
    }
    false
}
