//! Compares the test names in `docs/PROOFS.md` with the tests that exist.

use std::path::Path;

#[test]
fn every_test_named_on_the_page_exists() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut source = String::new();
    for file in std::fs::read_dir(dir).expect("readable") {
        let path = file.expect("readable").path();
        if path.extension().is_some_and(|e| e == "rs") {
            source.push_str(&std::fs::read_to_string(path).expect("readable"));
        }
    }
    let page = std::fs::read_to_string(dir.join("../docs/PROOFS.md")).expect("is committed");
    let names: Vec<&str> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|n| n.contains("_"))
        .collect();
    assert!(names.len() > 40);
    for name in names {
        assert!(
            source.contains(&format!("fn {name}(")),
            "no test is called {name}"
        );
    }
}

#[test]
fn every_cell_names_a_test_or_states_that_there_is_none() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(dir.join("../docs/PROOFS.md")).expect("is committed");
    let rows: Vec<&str> = page
        .lines()
        .filter(|l| l.starts_with("| ") && !l.contains("---"))
        .skip(1)
        .collect();
    assert!(rows.len() >= 15);
    for row in rows {
        let cells: Vec<&str> = row
            .trim_matches('|')
            .split('|')
            .skip(1)
            .map(str::trim)
            .collect();
        assert_eq!(cells.len(), 7, "{row}");
        let valid = |cell: &&str| cell.starts_with('`') || *cell == "not proved";
        assert!(cells.iter().all(valid), "{row}");
    }
}
