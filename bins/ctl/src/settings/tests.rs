use std::{path::Path, time::Duration};

use super::Settings;

#[test]
fn can_read_the_sample() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/chervilgatectl.json");

    let settings: Settings = chervilgate_settings::load(&path).expect("no findings");

    assert_eq!(settings.operator, "ana");
    assert_eq!(settings.entries.len(), 3);
    assert_eq!(settings.accept_limit, Duration::from_secs(10));
}
