//! Percent-encoding of texts from outside.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};

/// All but the unreserved characters of RFC 3986, so that servers decode a text alike in a path and in a query.
pub const ENCODED: AsciiSet = NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
