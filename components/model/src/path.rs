//! Paths of requests, brought to one form before they are matched.
//!
//! A target may read `/a//b`, `/a/./b` or `/%61/b` as `/a/b`. A route that is
//! matched on the text alone could then be sidestepped, so paths that a target
//! might read in two ways have no normal form.

use smallvec::SmallVec;

/// Segments of a path; few are deeper than this.
pub(crate) type Segments<'a> = SmallVec<[&'a str; 8]>;

/// The segments of `path` without its query, if it can be read in one way only.
pub(crate) fn split_path(path: &str) -> Option<Segments<'_>> {
    let path = path.split_once(['?', '#']).map_or(path, |(path, _)| path);
    let inner = path.strip_prefix('/')?;
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    if inner.is_empty() {
        return Some(Segments::new());
    }
    let segments: Segments<'_> = inner.split('/').collect();
    segments.iter().all(|segment| is_plain(segment)).then_some(segments)
}

fn is_plain(segment: &str) -> bool {
    let dots = matches!(segment, "" | "." | "..");
    !dots && !segment.contains(['\\', ';']) && !escapes_plain_text(segment)
}

/// Whether an escape stands for a character that needs none, or for a separator.
fn escapes_plain_text(segment: &str) -> bool {
    let mut rest = segment;
    while let Some((_, tail)) = rest.split_once('%') {
        let Some(byte) = tail.get(..2).and_then(|hex| u8::from_str_radix(hex, 16).ok()) else {
            return true;
        };
        let reserved = matches!(byte, b'/' | b'\\' | b'%' | b';' | 0);
        let plain = byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~');
        if reserved || plain {
            return true;
        }
        rest = &tail[2..];
    }
    false
}
