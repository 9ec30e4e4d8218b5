//! Hashing and comparison of bearer keys. Only hashes of the keys are stored.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 of a key as 64 lower-case hexadecimal digits.
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether two tokens are equal. The time taken does not depend on where they differ.
pub fn tokens_match(presented: &str, expected: &str) -> bool {
    // Hashes are compared because equal hashes mean equal tokens, and the position of the first
    // different byte of two hashes reveals nothing about the tokens.
    Sha256::digest(presented.as_bytes()) == Sha256::digest(expected.as_bytes())
}
