//! Encoding of a table for transfer between daemons: compressed JSON.
//!
//! A table of 1,600 routes is some 400 KB of JSON. Uncompressed, that would occupy a link of
//! 10 Mbit/s for a third of a second for each peer that fetches it.

use bankcove_core::table::Table;
use serde::{Deserialize, Serialize};

/// Why a table could not be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The JSON is invalid, or its fields are those of another version.
    #[error("the table is not valid JSON of this version: {0}")]
    Json(#[from] serde_json::Error),
    /// The compressed data is invalid.
    #[error("failed to decompress the table: {0}")]
    Compression(#[from] lz4_flex::block::DecompressError),
}

/// A compressed table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTable {
    bytes: Vec<u8>,
}

impl PackedTable {
    /// Serializes and compresses a table.
    ///
    /// # Errors
    /// Returns [`PackError::Json`] if the table can't be serialized.
    pub fn pack(table: &Table) -> Result<Self, PackError> {
        let text = serde_json::to_vec(table)?;
        Ok(PackedTable { bytes: lz4_flex::compress_prepend_size(&text) })
    }

    /// Decompresses and parses the table.
    ///
    /// # Errors
    /// Returns a [`PackError`] if the data can't be decompressed or parsed.
    pub fn unpack(&self) -> Result<Table, PackError> {
        let text = lz4_flex::decompress_size_prepended(&self.bytes)?;
        Ok(serde_json::from_slice(&text)?)
    }
}
