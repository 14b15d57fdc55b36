//! Every error in a settings file is reported with its line, its key and the
//! allowed values.

use std::path::Path;

use rstest::rstest;
use rw_settings::{parse, Error};

const VALID: &str = "[platform]
url = http://127.0.0.1:1
origin_url = http://127.0.0.1:1
[region:north]
home = true
[zone:n1]
region = north
[service:assistant]
kind = engine
[service:checkout]
kind = plain
idempotent = stock, price
[team:arima]
[daemon:e1]
role = entry
zone = n1
listen = 127.0.0.1:2
operator_listen = 127.0.0.1:3
caller_listen = 127.0.0.1:4
";

fn errors(text: &str) -> Vec<String> {
    match parse(text) {
        Err(Error::Invalid(diagnostics)) => diagnostics.iter().map(ToString::to_string).collect(),
        other => panic!("expected validation errors, got {other:?}"),
    }
}

#[test]
fn valid_settings_get_their_defaults() {
    let deployment = parse(VALID).expect("valid settings");
    assert_eq!(deployment.control.poll_ms, 500);
    assert!(deployment.is_idempotent("checkout", "price"));
    assert!(!deployment.is_idempotent("checkout", "charge"));
    assert_eq!(&*deployment.home_region(), "north");
    assert_eq!(&*deployment.region_of("n1"), "north");
}

#[rstest]
#[case(
    "home = true",
    "home = yes",
    "line 5: region:north.home: 'yes' is neither true nor false"
)]
#[case(
    "region = north",
    "region = nrth",
    "line 7: zone:n1.region: no section region:nrth"
)]
#[case(
    "kind = engine",
    "kind = motor",
    "line 9: service:assistant.kind: 'motor' is not one of engine, plain"
)]
#[case(
    "kind = engine",
    "kind = engine\nconcurrency = 0",
    "line 10: service:assistant.concurrency: '0' is not a whole number from 1 to 100000"
)]
#[case(
    "[team:arima]",
    "[team:arima]\nwieght = 2",
    "line 14: team:arima.wieght: unknown key; known keys are max_in_flight, weight"
)]
#[case("[team:arima]", "[taem:arima]", "line 13: taem:arima: unknown section")]
#[case(
    "[team:arima]",
    "[team:arima]\n[team:arima]",
    "line 14: team:arima: section given twice"
)]
#[case(
    "role = entry\n",
    "",
    "line 14: daemon:e1.role: missing; this key is required"
)]
#[case(
    "listen = 127.0.0.1:2",
    "listen = here",
    "line 17: daemon:e1.listen: 'here' is not IP:PORT"
)]
#[case(
    "caller_listen = 127.0.0.1:4",
    "",
    "daemon:e1.caller_listen: '' is not IP:PORT"
)]
#[case(
    "url = http://127.0.0.1:1\norigin",
    "origin",
    "line 1: platform.url: missing; this key is required"
)]
#[case(
    "[region:north]",
    "[limits]\nretry_ratio = 7\n[region:north]",
    "limits.retry_ratio: '7' is not a number from 0 to 1"
)]
fn an_error_is_reported_with_its_line_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let found = errors(&VALID.replacen(from, to, 1));
    assert!(found.iter().any(|f| f.contains(expected)), "{found:?}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID
        .replace("kind = engine", "kind = motor")
        .replace("home = true", "home = 1");
    assert_eq!(errors(&text).len(), 2);
}

#[rstest]
#[case("sookram")]
#[case("lavaclick")]
fn the_shipped_deployments_are_valid(#[case] name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deployment = rw_settings::load(&root.join("deploy").join(name).join("deployment.ini"))
        .expect("valid settings");
    assert_eq!(
        (
            deployment.regions.len(),
            deployment.teams.len(),
            deployment.daemons.len()
        ),
        (3, 10, 17)
    );
}

#[test]
fn the_reference_page_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/SETTINGS.md")).expect("is committed");
    assert_eq!(
        page.trim(),
        rw_settings::reference().trim(),
        "run ragworttack settings > docs/SETTINGS.md"
    );
}
