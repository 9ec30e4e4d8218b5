//! Bills: what a request costs and which budget pays for it.

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Name, RequestHash, Tokens};

/// The bill of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request; only its first bill counts.
    pub request: RequestHash,
    /// The attempt whose response the caller received.
    pub attempt: AttemptId,
    /// The budget that is charged.
    pub budget: Name,
    /// Tokens read from the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated; for a plain service, the price of the call.
    pub output_tokens: Tokens,
}

impl Bill {
    /// Returns the total number of tokens charged for the request.
    pub fn tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens
    }
}
