//! Streams of events, cut anywhere.

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
fn an_event_is_passed_on_as_it_came(#[case] event: &str) {
    let mut reader = EventReader::after(0);
    assert_eq!(reader.push(event.as_bytes()), event.as_bytes());
    assert_eq!(reader.last_id(), 1);
}

#[test]
fn events_that_the_caller_has_are_dropped() {
    let mut reader = EventReader::after(3);
    assert_eq!(reader.push(&stream(5)), &stream(5)[stream(3).len()..]);
}

proptest! {
    #[test]
    fn parts_of_any_size_give_the_same_events(cuts in proptest::collection::vec(1usize..40, 1..60)) {
        let all = stream(20);
        let (mut reader, mut out, mut at) = (EventReader::after(0), Vec::new(), 0);
        for cut in cuts {
            let end = (at + cut).min(all.len());
            out.extend_from_slice(&reader.push(&all[at..end]));
            at = end;
            prop_assert!(out.ends_with(b"\n\n") || out.is_empty());
        }
        out.extend_from_slice(&reader.push(&all[at..]));
        prop_assert_eq!(out, all);
        prop_assert!(reader.is_at_boundary());
    }
}
