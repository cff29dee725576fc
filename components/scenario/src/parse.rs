//! Parser of the scenario language.
//!
//! Each line holds one statement; `#` starts a comment. The parser reports all
//! errors, each with its file, line, column and what was expected there.

mod events;
mod expect;
mod token;

use std::fmt;

use chervilgate_clock::Time;
use snafu::{Snafu, ensure};
use winnow::{
    ModalResult, Parser,
    combinator::{alt, cut_err, eof, fail, repeat, terminated},
    error::{StrContext, StrContextValue},
};

use crate::{
    parse::token::{duration, ident, name, number, quoted, space, word},
    script::{Entry, Event, Expectation, Key, Script, Target, TargetKind},
};

/// A syntax error, or a use of an undeclared name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// File name as given to [`parse`].
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the expected text.
    pub expected: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: expected {}", self.file, self.line, self.column, self.expected)
    }
}

/// An invalid scenario text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{}", findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")))]
pub struct ParseError {
    /// Syntax errors in order of lines, then missing statements and undeclared names.
    pub findings: Vec<Finding>,
}

enum Statement {
    Title(String),
    Seed(u64),
    Entries(Vec<Entry>),
    Target(Target),
    Key(Key),
    Event(Event),
    Expectation(Expectation),
    End(Time),
}

/// Parses a scenario; `file` is the name used in findings.
///
/// # Errors
///
/// Fails with all findings if a line is invalid, a required statement is
/// missing or a name is undeclared.
pub fn parse(file: &str, text: &str) -> Result<Script, ParseError> {
    let mut script = Script { seed: 1, ..Script::default() };
    let mut findings = Vec::new();
    let mut count = 0;
    for (index, content) in text.lines().enumerate() {
        count = index + 1;
        let line = content.split('#').next().unwrap_or_default().trim_end();
        if line.trim().is_empty() {
            continue;
        }
        match terminated(statement, (space, eof)).parse(line) {
            Ok(parsed) => script.add(count, parsed),
            Err(error) => findings.push(Finding {
                file: file.to_owned(),
                line: count,
                column: line[..error.offset()].chars().count() + 1,
                expected: expectation_of(error.inner()),
            }),
        }
    }
    let required = [
        (script.title.is_empty(), "a title, such as: scenario \"one key\""),
        (script.entries.is_empty(), "entries, such as: entries e1 e2 in a"),
        (script.expectations.is_empty(), "an expectation, such as: expect r1 ran once"),
        (script.end == Time::ZERO, "an end, such as: end at 60s"),
    ];
    for (_, what) in required.iter().filter(|(absent, _)| *absent) {
        let (file, expected) = (file.to_owned(), (*what).to_owned());
        findings.push(Finding { file, line: count, column: 1, expected });
    }
    findings.extend(crate::names::check(file, &script));
    ensure!(findings.is_empty(), ParseSnafu { findings });
    Ok(script)
}

fn expectation_of(error: &winnow::error::ContextError) -> String {
    let expected: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    match expected.is_empty() {
        true => "the end of the line".to_owned(),
        false => expected.join(" or "),
    }
}

impl Script {
    fn add(&mut self, line: usize, statement: Statement) {
        match statement {
            Statement::Title(title) => self.title = title,
            Statement::Seed(seed) => self.seed = seed,
            Statement::Entries(entries) => self.entries.extend(entries),
            Statement::Target(target) => self.targets.push(target),
            Statement::Key(key) => self.keys.push(key),
            Statement::Event(event) => self.events.push(Event { line, ..event }),
            Statement::Expectation(expectation) => {
                self.expectations.push(Expectation { line, ..expectation });
            }
            Statement::End(end) => self.end = end,
        }
    }
}

const STATEMENTS: &str = "scenario, seed, entries, engine, service, key, at, expect or end";

fn statement(input: &mut &str) -> ModalResult<Statement> {
    let wants = StrContext::Expected(StrContextValue::Description(STATEMENTS));
    let verb = ident.context(wants.clone()).parse_next(input)?;
    match verb {
        "scenario" => cut_err(quoted).map(Statement::Title).parse_next(input),
        "seed" => cut_err(number).map(Statement::Seed).parse_next(input),
        "entries" => cut_err(entries).map(Statement::Entries).parse_next(input),
        "engine" => cut_err(engine).map(Statement::Target).parse_next(input),
        "service" => cut_err(service).map(Statement::Target).parse_next(input),
        "key" => cut_err(key).map(Statement::Key).parse_next(input),
        "at" => cut_err(event).map(Statement::Event).parse_next(input),
        "expect" => cut_err(expect::condition)
            .map(|condition| Statement::Expectation(Expectation { line: 0, condition }))
            .parse_next(input),
        "end" => cut_err((word("at"), duration))
            .map(|(_, span)| Statement::End(Time::ZERO + span))
            .parse_next(input),
        _ => fail.context(wants).parse_next(input),
    }
}

fn entries(input: &mut &str) -> ModalResult<Vec<Entry>> {
    let names: Vec<String> = repeat(1.., token::listed).parse_next(input)?;
    let _ = word("in").parse_next(input)?;
    let zone = name("a zone").parse_next(input)?;
    Ok(names.into_iter().map(|name| Entry { name, zone: zone.clone() }).collect())
}

fn engine(input: &mut &str) -> ModalResult<Target> {
    let name = name("a name").parse_next(input)?;
    let _ = word("in").parse_next(input)?;
    let zone = token::name("a zone").parse_next(input)?;
    let fencing =
        alt((word("fencing").value(true), (word("not"), cut_err(word("fencing"))).value(false)))
            .parse_next(input)?;
    Ok(Target { name, kind: TargetKind::Engine { fencing }, zone })
}

fn service(input: &mut &str) -> ModalResult<Target> {
    let name = name("a name").parse_next(input)?;
    let _ = word("in").parse_next(input)?;
    let zone = token::name("a zone").parse_next(input)?;
    Ok(Target { name, kind: TargetKind::Service, zone })
}

fn key(input: &mut &str) -> ModalResult<Key> {
    let name = name("a key").parse_next(input)?;
    let _ = word("of").parse_next(input)?;
    let organisation = token::name("an organisation").parse_next(input)?;
    Ok(Key { name, organisation })
}

fn event(input: &mut &str) -> ModalResult<Event> {
    let span = duration.parse_next(input)?;
    let kind = events::event_kind.parse_next(input)?;
    Ok(Event { at: Time::ZERO + span, line: 0, kind })
}
