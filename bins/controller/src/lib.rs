//! A candidate owner of shards; one runs on every entry host.
