//! What a request cost.

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Name, RequestHash, Tokens};

/// The bill of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request; it is billed once.
    pub request: RequestHash,
    /// The attempt whose answer the caller got.
    pub attempt: AttemptId,
    /// The budget that paid.
    pub budget: Name,
    /// Tokens read from the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated; for a plain service the price of the call.
    pub output_tokens: Tokens,
}

impl Bill {
    /// Tokens that the request cost.
    pub fn tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }
}
