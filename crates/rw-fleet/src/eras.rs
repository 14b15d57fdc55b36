//! Eras of the store in the versions of rows and tables.

use rw_platform::Revision;
use rw_protocol::{StoredRow, TableVersion};

/// Era of a version.
pub fn era(version: u64) -> u32 {
    Revision::from(version).era
}

/// Whether a table holds rows of an earlier era, as that of a peer does until it drops
/// what was not written again.
pub fn has_earlier_rows<'a>(
    mut rows: impl Iterator<Item = &'a StoredRow>,
    table: &TableVersion,
) -> bool {
    rows.any(|row| row.table == table.table && era(row.version) < era(table.version))
}
