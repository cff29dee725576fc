//! A model of the engines the system serves, in virtual time.
