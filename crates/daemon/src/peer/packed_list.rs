//! Encoding of lists for transfer between daemons: compressed.
//!
//! Load pattern: all daemons of a fleet start, or the list changes, and each fetches it. Uncompressed,
//! 10,000 servers occupy a narrow link for a large part of a second for each peer that fetches them.

use std::marker::PhantomData;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Why a list could not be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The bytes are invalid, or those of another version.
    #[error("the list can't be encoded or decoded: {0}")]
    Encoding(#[from] bincode::Error),
    /// The compressed data is invalid.
    #[error("failed to decompress the list: {0}")]
    Compression(#[from] lz4_flex::block::DecompressError),
}

/// A compressed list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedList<T> {
    bytes: Vec<u8>,
    #[serde(skip)]
    list: PhantomData<T>,
}

impl<T: Serialize + DeserializeOwned> PackedList<T> {
    /// Encodes and compresses a list.
    ///
    /// # Errors
    /// [`PackError::Encoding`] if it can't be encoded.
    pub fn pack(list: &T) -> Result<Self, PackError> {
        let bytes = lz4_flex::compress_prepend_size(&bincode::serialize(list)?);
        Ok(PackedList { bytes, list: PhantomData })
    }

    /// Decompresses and decodes the list.
    ///
    /// # Errors
    /// A [`PackError`] if the data can't be decompressed or decoded.
    pub fn unpack(&self) -> Result<T, PackError> {
        Ok(bincode::deserialize(&lz4_flex::decompress_size_prepended(&self.bytes)?)?)
    }
}
