//! Tokens of the scenario language.

use std::time::Duration;

use winnow::{
    ModalResult, Parser,
    ascii::{dec_uint, multispace0},
    combinator::{alt, delimited, not, preceded, terminated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    token::{take_till, take_while},
};

/// Keywords that end a list of names.
const RESERVED: [&str; 17] = [
    "in",
    "of",
    "on",
    "through",
    "with",
    "for",
    "from",
    "setting",
    "taking",
    "once",
    "every",
    "by",
    "after",
    "until",
    "scoped",
    "unscoped",
    "differing",
];

pub(super) fn space<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    multispace0.parse_next(input)
}

/// Parses a name and skips the whitespace before it.
pub(super) fn ident<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    preceded(multispace0, take_while(1.., is_name)).parse_next(input)
}

/// Parses the keyword `text`.
pub(super) fn word<'a>(text: &'static str) -> impl Parser<&'a str, &'a str, ErrMode<ContextError>> {
    preceded(multispace0, terminated(text, not(take_while(1, is_name))))
        .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

/// Parses a name chosen by the script; `what` describes it in findings.
pub(super) fn name<'a>(what: &'static str) -> impl Parser<&'a str, String, ErrMode<ContextError>> {
    ident.map(str::to_owned).context(StrContext::Expected(StrContextValue::Description(what)))
}

/// Parses a name in a list, which may not be a reserved keyword.
pub(super) fn listed(input: &mut &str) -> ModalResult<String> {
    let unreserved = |name: &&str| !RESERVED.contains(name);
    ident
        .verify(unreserved)
        .map(str::to_owned)
        .context(StrContext::Expected(StrContextValue::Description("a name")))
        .parse_next(input)
}

pub(super) fn number(input: &mut &str) -> ModalResult<u64> {
    preceded(multispace0, dec_uint)
        .context(StrContext::Expected(StrContextValue::Description("a number")))
        .parse_next(input)
}

pub(super) fn quoted(input: &mut &str) -> ModalResult<String> {
    preceded(multispace0, delimited('"', take_till(1.., '"'), '"'))
        .map(str::to_owned)
        .context(StrContext::Expected(StrContextValue::Description("a text in double quotes")))
        .parse_next(input)
}

/// Parses a duration such as `250ms`, `20s` or `5min`.
pub(super) fn duration(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt(("ms".value(1), "s".value(1_000), "min".value(60_000)));
    let end = not(take_while(1, is_name));
    preceded(multispace0, terminated((dec_uint::<_, u64, _>, unit), end))
        .map(|(count, millis): (u64, u64)| Duration::from_millis(count * millis))
        .context(StrContext::Expected(StrContextValue::Description("a time such as 250ms or 20s")))
        .parse_next(input)
}

fn is_name(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}
