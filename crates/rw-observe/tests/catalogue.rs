//! The event catalogue, its committed page and the recorder's ring buffer.

use std::collections::BTreeSet;

use rw_observe::{catalogue_markdown, Event, Metrics, Recorder};

#[test]
fn event_numbers_ascend_and_names_are_unique() {
    let numbers: Vec<u32> = Event::ALL.iter().map(|e| e.number()).collect();
    assert!(numbers.windows(2).all(|w| w[0] < w[1]));
    let names: BTreeSet<&str> = Event::ALL.iter().map(|e| e.name()).collect();
    assert_eq!(names.len(), Event::ALL.len());
}

#[test]
fn committed_page_matches_the_code() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/EVENTS.md")).expect("is committed");
    assert_eq!(
        page.trim(),
        catalogue_markdown().trim(),
        "run ragworttack events > docs/EVENTS.md"
    );
}

#[test]
fn ring_is_bounded_and_stamps_ascend() {
    let recorder = Recorder::new("a".into(), Metrics::new());
    for n in 0..5000 {
        recorder.emit(Event::StrayFrame, &format!("n={n}"));
    }
    let events = recorder.events(0);
    assert!(events.len() < 5000);
    assert_eq!(events.last().map(|e| e.detail.as_str()), Some("n=4999"));
    assert!(events.windows(2).all(|w| w[0].stamp < w[1].stamp));
    let last = events[events.len() - 2].stamp;
    assert_eq!(recorder.events(last).len(), 1);
}
