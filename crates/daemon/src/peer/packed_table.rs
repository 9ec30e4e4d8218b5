//! A table on its way between daemons: JSON, compressed.
//!
//! A table of 1,600 routes is some 400 KB of JSON, which would take a link of
//! 10 Mbit/s a third of a second for each peer that fetches it.

use bankcove_core::table::Table;
use serde::{Deserialize, Serialize};

/// Why a table could not be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The JSON is at fault.
    #[error("the table is no JSON of this version: {0}")]
    Json(#[from] serde_json::Error),
    /// The compressed bytes are at fault.
    #[error("the table can't be decompressed: {0}")]
    Compression(#[from] lz4_flex::block::DecompressError),
}

/// A table as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTable {
    bytes: Vec<u8>,
}

impl PackedTable {
    /// Packs a table.
    ///
    /// # Errors
    /// [`PackError::Json`] when the table can't be written.
    pub fn pack(table: &Table) -> Result<Self, PackError> {
        let text = serde_json::to_vec(table)?;
        Ok(PackedTable { bytes: lz4_flex::compress_prepend_size(&text) })
    }

    /// Unpacks the table.
    ///
    /// # Errors
    /// [`PackError`] tells what is wrong with the bytes.
    pub fn unpack(&self) -> Result<Table, PackError> {
        let text = lz4_flex::decompress_size_prepended(&self.bytes)?;
        Ok(serde_json::from_slice(&text)?)
    }
}
