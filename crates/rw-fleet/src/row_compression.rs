//! Large rows are stored and forwarded compressed.

use rw_protocol::StoredRow;

/// Minimum size of rows that are compressed; compressing smaller ones saves
/// little.
const COMPRESSION_THRESHOLD_BYTES: usize = 4096;

/// Compresses a large row.
pub fn compress(row: StoredRow) -> StoredRow {
    if row.packed || row.value.as_ref().len() < COMPRESSION_THRESHOLD_BYTES {
        return row;
    }
    let value = lz4_flex::compress_prepend_size(row.value.as_ref());
    StoredRow {
        value: value.into(),
        packed: true,
        ..row
    }
}

/// Decompresses a row. A value that cannot be decompressed is returned as it is and
/// fails to decode.
pub fn decompress(row: &StoredRow) -> StoredRow {
    let value = match row.packed {
        true => lz4_flex::decompress_size_prepended(row.value.as_ref()),
        false => return row.clone(),
    };
    match value {
        Ok(value) => StoredRow {
            value: value.into(),
            packed: false,
            ..row.clone()
        },
        Err(err) => {
            log::warn!(
                "cannot decompress row {} of table {}; treating it as unreadable: {err}",
                row.key,
                row.table
            );
            row.clone()
        }
    }
}
