//! Tests `EventReader` with streams that are split at arbitrary positions.

use proptest::prelude::*;
use rstest::rstest;
use rw_fleet::EventReader;

fn stream(events: u64) -> Vec<u8> {
    (1..=events)
        .flat_map(|n| format!("id: {n}\ndata: t{n}\n\n").into_bytes())
        .collect()
}

#[rstest]
#[case::line_feeds("id: 1\ndata: a\n\n")]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\n")]
#[case::other_fields_first("weight-versions: 3\nid: 1\ndata: a\n\n")]
fn event_is_forwarded_unchanged(#[case] event: &str) {
    let mut reader = EventReader::after(0);
    assert_eq!(reader.push(event.as_bytes()), event.as_bytes());
    assert_eq!(reader.last_id(), 1);
}

#[test]
fn events_already_received_are_dropped() {
    let mut reader = EventReader::after(3);
    assert_eq!(reader.push(&stream(5)), &stream(5)[stream(3).len()..]);
}

proptest! {
    #[test]
    fn parts_of_any_size_yield_the_same_events(lens in proptest::collection::vec(1usize..40, 1..60)) {
        let all = stream(20);
        let (mut reader, mut out, mut at) = (EventReader::after(0), Vec::new(), 0);
        for len in lens {
            let end = (at + len).min(all.len());
            out.extend_from_slice(&reader.push(&all[at..end]));
            at = end;
            prop_assert!(out.ends_with(b"\n\n") || out.is_empty());
        }
        out.extend_from_slice(&reader.push(&all[at..]));
        prop_assert_eq!(out, all);
        prop_assert!(reader.is_at_boundary());
    }
}
