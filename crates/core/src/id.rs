//! Identifiers of daemon incarnations, requests and attempts, and the hashes that assign keys to
//! shards and owners.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::Name;

/// Identifier of one run of a daemon process; each start of the daemon is a new incarnation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// 128-bit hash of workspace and idempotency key, which identifies a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHash(pub u128);

/// Identity of a request or of a part of prompts, by which crashes are attributed.
///
/// That of a request is a content hash, the same for all attempts of its caller on any host: the
/// first 128 bits of the SHA-256 of host, path with query, workspace and body. Headers and the
/// attempt id are not included. A cryptographic hash keeps a caller from forging a request with the
/// fingerprint of another caller's request.
///
/// That of a part is [`PART_TAG`], a hash of the pool in 32 bits, and the part's id in 64 bits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

/// Identifier of one attempt of a daemon to serve a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the daemon that made the attempt.
    pub incarnation: Incarnation,
    /// Number of the attempt within that incarnation.
    pub sequence: u64,
}

/// Error for a text that is not a valid identifier.
#[derive(Debug, thiserror::Error)]
#[error("'{0}' is not an identity in hexadecimal digits")]
pub struct ParseIdError(String);

impl RequestHash {
    /// Hashes a workspace and the idempotency key sent by its caller.
    pub fn of(workspace: &Name, key: &str) -> Self {
        let mut buf = Vec::with_capacity(workspace.as_str().len() + key.len() + 1);
        buf.extend_from_slice(workspace.as_str().as_bytes());
        buf.push(0);
        buf.extend_from_slice(key.as_bytes());
        RequestHash(xxh3_128(&buf))
    }

    /// Returns the index of the shard, out of `count`, that holds this request.
    pub fn shard(self, count: u32) -> u32 {
        (self.0 % u128::from(count)) as u32
    }
}

/// First 32 bits of the fingerprint of a part of prompts.
const PART_TAG: u128 = 0xffff_ffff;

impl Fingerprint {
    /// Returns the identity of a part of prompts that go to the servers of a pool.
    pub fn of_part(pool: &Name, part: u64) -> Self {
        let pool = xxh3_64(pool.as_str().as_bytes()) as u32;
        Fingerprint(PART_TAG << 96 | u128::from(pool) << 64 | u128::from(part))
    }

    /// Returns whether it is that of a part of prompts.
    pub fn is_part(self) -> bool {
        self.0 >> 96 == PART_TAG
    }

    /// Returns a number that is the same for all parts of one pool.
    pub fn part_pool(self) -> u32 {
        (self.0 >> 64) as u32
    }

    /// Hashes host, path with query, the caller's workspace (empty where no API key is required)
    /// and body.
    pub fn of(host: &str, path: &str, workspace: &str, body: &[u8]) -> Self {
        Self::of_segments(host, path, workspace, &[body])
    }

    /// Like [`Fingerprint::of`], for a body in several segments.
    pub fn of_segments(host: &str, path: &str, workspace: &str, body: &[impl AsRef<[u8]>]) -> Self {
        let mut hasher = Sha256::new();
        // Length prefixes make the concatenation of the parts unambiguous.
        for part in [host, path, workspace] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let body_bytes: usize = body.iter().map(|segment| segment.as_ref().len()).sum();
        hasher.update((body_bytes as u64).to_le_bytes());
        body.iter().for_each(|segment| hasher.update(segment));
        let digest = hasher.finalize();
        let first = digest.iter().take(size_of::<u128>());
        Fingerprint(first.fold(0, |bits, byte| bits << 8 | u128::from(*byte)))
    }

    /// Returns a key for rendezvous hashing: the low 64 bits.
    pub fn key(self) -> u64 {
        self.0 as u64
    }
}

/// Returns the index of the shard, out of `count`, that holds the item named `name`.
pub fn shard_of_name(name: &Name, count: u32) -> u32 {
    (xxh3_64(name.as_str().as_bytes()) % u64::from(count)) as u32
}

/// Returns the score of `member` for `key` in rendezvous hashing; the member with the highest
/// score owns the key.
pub fn rendezvous_score(key: u64, member: u64) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&key.to_le_bytes());
    buf[8..].copy_from_slice(&member.to_le_bytes());
    xxh3_64(&buf)
}

macro_rules! impl_hex_id {
    ($kind:ident, $inner:ty, $digits:literal) => {
        impl fmt::Display for $kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $digits, "x}"), self.0)
            }
        }

        impl fmt::Debug for $kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $kind {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                <$inner>::from_str_radix(text, 16)
                    .map($kind)
                    .map_err(|_| ParseIdError(text.to_owned()))
            }
        }

        impl Serialize for $kind {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                self.0.serialize(serializer)
            }
        }

        impl<'de> Deserialize<'de> for $kind {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return <$inner>::deserialize(deserializer).map($kind);
                }
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(de::Error::custom)
            }
        }
    };
}

impl_hex_id!(Incarnation, u64, "16");
impl_hex_id!(RequestHash, u128, "32");
impl_hex_id!(Fingerprint, u128, "32");

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let invalid = || ParseIdError(text.to_owned());
        let (incarnation, sequence) = text.split_once('-').ok_or_else(invalid)?;
        Ok(AttemptId {
            incarnation: incarnation.parse()?,
            sequence: sequence.parse().map_err(|_| invalid())?,
        })
    }
}
