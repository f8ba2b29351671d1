//! Tests of the settings file format. In the package, because a binary has no library to import.
use super::{parse, read, SETTINGS_FILE_VARIABLE};
use silvercross_time::Duration;
use std::path::Path;

const SIDECAR_FILE: &str =
    "node: s1\nrole: r\nmachineClass: side\nip: 127.0.0.2\nzone: a\nzones: {b: r, a: r}\n\
    countersAt: {inbound: '127.0.0.2:1', outbound: '127.0.0.2:2', ready: '127.0.0.2:3'}\n\
    internalPorts: [7600, 7615]\nseeds: ['127.0.0.3:9']\nfirstStart: true\nunheardOf: {x: 1}\n\
    localStation: '127.0.0.2:4'\ndestination: d\nheartbeatS: 1.5\nbounds: ['drainS=3', 'strange=true']\n";

#[test]
fn a_settings_file_is_read_and_what_it_does_not_know_disregarded() {
    let settings = parse(SIDECAR_FILE).expect("well-formed");
    assert_eq!((settings.is_control, settings.is_first_start), (false, true));
    assert_eq!(settings.reloadable.heartbeat_interval, Duration::from_millis(1_500));
    let limits = settings.reloadable.limits;
    assert_eq!((limits.drain_timeout, limits.grace), (Duration::from_secs(3), Duration::from_secs(6)));
    assert_eq!(settings.zones, ["a", "b"]);
    assert_eq!(settings.upstream_address, "127.0.0.2:4".parse().ok());
}

#[test]
fn each_fault_is_reported_with_its_key() {
    for (from, to, key) in [
        ("ip: 127.0.0.2", "ip: none", "ip"),
        ("node: s1\n", "", "node"),
        ("[7600, 7615]", "[]", "internalPorts"),
        ("[7600, 7615]", "[7615, 7600]", "internalPorts"),
        ("drainS=3", "drainS=x", "bounds"),
        ("ready: '127.0.0.2:3'", "more: 1", "countersAt.ready"),
        ("heartbeatS: 1.5", "heartbeatS: 0", "heartbeatS"),
    ] {
        let error = parse(&SIDECAR_FILE.replace(from, to)).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    let error = read(Path::new("/nowhere")).expect_err("missing").to_string();
    assert!(error.contains(SETTINGS_FILE_VARIABLE), "{error}");
}
