//! Small stand-ins for the platform, engines and services, with fault switches.
