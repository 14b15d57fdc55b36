//! Encoding and decoding of frames: round trips, limits, and corrupted or
//! arbitrary input.

use bytes::Bytes;
use proptest::prelude::*;
use rw_protocol::*;

fn load() -> Load {
    Load {
        running: 1,
        queued: 2,
        limit: 3,
    }
}

fn intent() -> Intent {
    Intent {
        name: "cuts".into(),
        service: "assistant".into(),
        model: "cutlist".into(),
        version: "v1".into(),
        teams: vec!["arima".into()],
        hosts: 2,
        regions: vec!["north".into(), "south".into()],
        finish_by_ms: u64::MAX,
    }
}

fn request_times() -> Vec<RequestedVersionTime> {
    vec![RequestedVersionTime {
        model: "m".into(),
        version: 2,
        era: 1,
        earliest_ms: 300,
        latest_ms: 400,
    }]
}

fn host_record() -> HostRecord {
    HostRecord {
        name: "host-1".into(),
        role: Role::Host,
        region: "north".into(),
        zone: "north-1".into(),
        addr: "127.0.0.1:1".into(),
        operator_addr: "127.0.0.1:2".into(),
        service: "assistant".into(),
        state: HostState::Leaving,
        changed: 9,
    }
}

fn manifest() -> Manifest {
    Manifest {
        model: "cutlist".into(),
        version: "v1".into(),
        length: 3,
        chunk_bytes: 2,
        chunks: vec![chunk_hash(b"ab"), chunk_hash(b"c")],
    }
}

fn generations() -> Vec<Generation> {
    let assignment = Assignment {
        host: "host-1".into(),
        wave: 3,
    };
    let changes = [
        Change::Put(PutIntent {
            intent: intent(),
            manifest: manifest_id(&manifest()),
            length: 3,
            assignments: vec![assignment.clone()],
        }),
        Change::Remove(RemoveIntent {
            name: "cuts".into(),
        }),
        Change::Replace(ReplaceHosts {
            intent: "cuts".into(),
            gone: vec!["host-2".into()],
            added: vec![assignment],
            epoch: 4,
        }),
    ];
    let number = |(at, change): (usize, Change)| Generation {
        number: at as u64 + 1,
        plan_id: "p".into(),
        at_ms: 5,
        change,
    };
    changes.into_iter().enumerate().map(number).collect()
}

fn listing() -> HostListing {
    HostListing {
        since: 8,
        version: 9,
        hosts: vec![host_record()],
    }
}

fn table_versions() -> Vec<TableVersion> {
    vec![TableVersion {
        table: "op".into(),
        version: 12,
    }]
}

fn stored_row() -> StoredRow {
    StoredRow {
        table: "op".into(),
        key: "k".into(),
        version: 12,
        deleted: true,
        packed: true,
        value: vec![0, 255].into(),
    }
}

fn requests() -> Vec<PeerRequest> {
    vec![
        PeerRequest::Call(CallRequest {
            attempt: u64::MAX,
            request_id: "r".into(),
            team: "arima".into(),
            service: "checkout".into(),
            operation: "charge".into(),
            manifest: Name::default(),
            deadline_ms: 1,
            priority: 2,
            key: "k".into(),
            body: vec![0, 255, 1].into(),
        }),
        PeerRequest::Sync(SyncRequest {
            name: "a".into(),
            head: 1,
            list_version: 2,
        }),
        PeerRequest::Push(PushRequest {
            generations: generations(),
            listing: listing(),
            relay: vec!["b".into()],
        }),
        PeerRequest::Chunk(ChunkRequest {
            manifest: "m".into(),
            chunk: 7,
            wait_ms: 8,
        }),
        PeerRequest::Manifest(ManifestRequest {
            manifest: "m".into(),
        }),
        PeerRequest::Report(ReportRequest { zone: "z".into() }),
        PeerRequest::Watch(WatchRequest { name: "a".into() }),
        PeerRequest::Load(LoadReport {
            entry: "e".into(),
            loads: vec![ServerLoad {
                server: "s".into(),
                running: 3,
                unread_tokens: u32::MAX,
                failures: 2,
                slowness_percent: 150,
            }],
            known: table_versions(),
            requested: request_times(),
        }),
        PeerRequest::Rows(RowsRequest {
            known: table_versions(),
            wait_ms: 9,
        }),
        PeerRequest::Runner(ServerStatus {
            server: "s".into(),
            model: "m".into(),
            weights: 2,
            accepting: true,
            sequence: u64::MAX,
        }),
    ]
}

fn replies() -> Vec<PeerReply> {
    let frames = [
        CallFrame::Started(Started {
            attempt: 1,
            version: "m@v".into(),
            load: load(),
        }),
        CallFrame::Data(Data {
            attempt: 1,
            seq: 0,
            body: vec![1, 2].into(),
        }),
        CallFrame::End(End {
            attempt: 1,
            frames: 1,
            digest: 2,
            status: 200,
            load: load(),
        }),
        CallFrame::NotRun(NotRun {
            attempt: 1,
            reason: "busy".into(),
            retry_after_ms: 3,
            load: load(),
        }),
        CallFrame::Failed(Failed {
            attempt: 1,
            reason: "broke".into(),
            load: load(),
        }),
    ];
    let mut out: Vec<PeerReply> = frames.into_iter().map(PeerReply::Call).collect();
    out.push(PeerReply::Sync(SyncReply {
        head: 3,
        snapshot: vec![Snapshot {
            head: 3,
            intents: vec![IntentSnapshot {
                intent: intent(),
                manifest: "m".into(),
                length: 3,
                previous: "l".into(),
                assignments: vec![Assignment {
                    host: "host-1".into(),
                    wave: 3,
                }],
                since_ms: 5,
            }],
        }],
        generations: generations(),
        listing: listing(),
    }));
    out.push(PeerReply::Ack(Ack { head: 3 }));
    out.push(PeerReply::Chunk(Chunk {
        chunk: 1,
        body: vec![9; 70_000].into(),
        held_ms: 3,
    }));
    out.push(PeerReply::Missing(Missing { retry_after_ms: 1 }));
    out.push(PeerReply::Manifest(manifest()));
    out.push(PeerReply::Noted(Noted {}));
    out.push(PeerReply::Rows(RowsReply {
        rows: vec![stored_row()],
        known: table_versions(),
        in_touch: true,
        requested: request_times(),
        clock: StoreClockReading {
            era: 1,
            earliest_ms: 300,
            latest_ms: u64::MAX,
        },
    }));
    out.push(PeerReply::Report(ZoneReport {
        zone: "z".into(),
        lowest_head: 2,
        intents: vec![ZoneIntentReport {
            intent: "cuts".into(),
            manifest: "m".into(),
            serving: 1,
            missing: vec!["host-2".into()],
        }],
        lagging: vec!["host-1".into()],
        unreachable: vec!["host-2".into()],
    }));
    out.push(PeerReply::Status(HostStatus {
        host: "a".into(),
        load: load(),
        serving: vec![ServedModel {
            service: "assistant".into(),
            model: "cutlist".into(),
            version: "v1".into(),
            manifest: "m".into(),
            intent: "cuts".into(),
        }],
        leaving: true,
        head: 3,
        problem: "none".into(),
    }));
    out
}

#[test]
fn every_message_round_trips() {
    for msg in requests() {
        assert_eq!(
            decode::<PeerRequest>(encode(&msg).expect("encodes")).expect("decodes"),
            msg
        );
    }
    for msg in replies() {
        assert_eq!(
            decode::<PeerReply>(encode(&msg).expect("encodes")).expect("decodes"),
            msg
        );
    }
}

#[test]
fn generated_code_is_up_to_date() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for target in rw_schema::TARGETS {
        let expected = rw_schema::generate(&root, target).expect("generates");
        let committed = std::fs::read_to_string(root.join(target.output)).expect("is committed");
        assert!(
            committed == expected,
            "run cargo run -p rw-schema: {} differs",
            target.output
        );
    }
}

#[test]
fn a_frame_of_another_version_is_rejected() {
    let mut frame = encode(&Ack { head: 1 }).expect("encodes").to_vec();
    frame[0] = PROTOCOL_VERSION + 1;
    let err = decode::<Ack>(Bytes::from(frame)).expect_err("rejected");
    assert!(
        matches!(err, Error::Version(v) if v == PROTOCOL_VERSION + 1),
        "{err}"
    );
}

#[test]
fn an_oversized_frame_is_rejected_before_its_payload_arrives() {
    let mut decoder = Decoder::default();
    decoder.extend(&[PROTOCOL_VERSION, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]);
    assert!(matches!(decoder.next::<Ack>(), Err(Error::TooLong(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let mut decoder = Decoder::default();
        decoder.extend(&bytes);
        let _ = decoder.next::<PeerRequest>();
    }

    // A valid header and checksum, so that the payload reaches the decoder.
    #[test]
    fn arbitrary_payloads_never_panic(body: Vec<u8>) {
        let mut frame = vec![PROTOCOL_VERSION];
        frame.extend((body.len() as u32).to_be_bytes());
        frame.extend(crc32fast::hash(&body).to_be_bytes());
        frame.extend(&body);
        let _ = decode::<PeerRequest>(Bytes::from(frame.clone()));
        let _ = decode::<PeerReply>(Bytes::from(frame));
    }

    #[test]
    fn a_corrupted_byte_is_always_detected(at: prop::sample::Index, flip in 1u8..) {
        let msg = &replies()[1];
        let mut frame = encode(msg).expect("encodes").to_vec();
        let at = at.index(frame.len());
        frame[at] ^= flip;
        let got = decode::<PeerReply>(Bytes::from(frame)).ok();
        prop_assert_ne!(got.as_ref(), Some(msg));
    }

    #[test]
    fn messages_are_decoded_wherever_the_stream_is_split(lengths in prop::collection::vec(1usize..40, 1..60)) {
        let all: Vec<u8> = requests().iter().flat_map(|m| encode(m).expect("encodes").to_vec()).collect();
        let mut decoder = Decoder::default();
        let mut got = Vec::new();
        let mut rest = &all[..];
        let mut lengths = lengths.iter().cycle();
        while !rest.is_empty() {
            let len = (*lengths.next().expect("cycles")).min(rest.len());
            decoder.extend(&rest[..len]);
            rest = &rest[len..];
            while let Some(msg) = decoder.next::<PeerRequest>().expect("valid frames") {
                got.push(msg);
            }
        }
        prop_assert_eq!(got, requests());
    }
}
