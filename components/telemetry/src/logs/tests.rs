use std::io::Write;

use log::{Level, Log, Record};

use super::*;

/// The bytes that the sink queues for a record with this name.
fn logged(name: &str) -> Vec<u8> {
    let (lines, queue) = sync_channel(8);
    let sink = LineSink { lines };
    let logger = Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(Target::Pipe(Box::new(sink)))
        .build();
    let values = [("name", name)];
    logger.log(
        &Record::builder()
            .args(format_args!("target entry invalid; skipped"))
            .level(Level::Info)
            .target("fleet")
            .key_values(&values)
            .build(),
    );
    queue.try_iter().flatten().collect()
}

// Guards against lines in the log that an entry of another writer has made up.
#[test]
fn a_line_break_in_a_name_begins_no_line() {
    for (name, expected) in [
        ("i-1", "name=i-1\n"),
        ("i-1\r\n[ERROR fleet] stopped", "name=i-1\\r\\n[ERROR fleet] stopped\n"),
        ("i-1\n", "name=i-1\\n\n"),
        ("\u{1b}[2J\0", "name=\\x1b[2J\\x00\n"),
        ("żółw", "name=żółw\n"),
    ] {
        let line = String::from_utf8(logged(name)).unwrap();

        assert!(line.ends_with(expected), "{line:?}");
        assert_eq!(line.matches('\n').count(), 1, "{line:?}");
    }
}

#[test]
fn a_sink_takes_all_bytes_of_a_line() {
    let (lines, _queue) = sync_channel(1);

    assert_eq!(LineSink { lines }.write(b"a\nb\n").unwrap(), 4);
}
