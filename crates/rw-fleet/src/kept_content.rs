//! Content that a row keeps when an older copy or the deletion of it arrives.

use rw_protocol::StoredRow;

/// Keeps the known content of a row. Other daemons that start from this row have to get
/// the newer content, too, until it is written again. That of a server that is gone says
/// which of its heartbeats are outdated.
pub fn keep_newer_content(row: &mut StoredRow, known: Option<&StoredRow>) {
    if let Some(known) = known.filter(|known| !known.value.as_ref().is_empty()) {
        row.value = known.value.clone();
        row.packed = known.packed;
    }
}
