//! The wire port: translation between the HTTP headers of another platform's callers and backend
//! servers and the daemon's own types.

use std::time::Duration;

use bankcove_core::hints::ServerHints;
use bankcove_core::{Name, Tokens};
use http::{HeaderMap, StatusCode};

/// One part of a prompt; leading parts may be shared by several requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Length of the part.
    pub tokens: Tokens,
}

/// Description of a request's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt.
    pub input_tokens: Tokens,
    /// Maximum number of tokens of the response.
    pub output_limit: Tokens,
    /// Parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the length of the parts that other requests may share.
    pub fn shared_tokens(&self) -> Tokens {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// Head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier of the caller's attempt; each attempt has its own.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Last event that the caller received of an interrupted stream that it resumes.
    pub resume_after: Option<u64>,
    /// Identifier of the caller's attempt that received the first event of that stream.
    pub resumes: Option<String>,
}

/// A header that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header '{header}' {problem}")]
pub struct MalformedHeader {
    /// Name of the header.
    pub header: &'static str,
    /// The problem with its value.
    pub problem: &'static str,
}

/// Data sent to a backend server in addition to the caller's headers.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'a> {
    /// Name of the intended instance of the server; any other instance refuses the request.
    pub server: &'a Name,
    /// Workspace that is billed; `None` on a public route.
    pub workspace: Option<&'a Name>,
    /// Address of a server that may have processed the prompt's shared parts: copying its cache
    /// avoids processing them again.
    pub copy_from: Option<&'a str>,
    /// Time left for the response.
    pub time_left: Duration,
    /// Urgency from 0, the most urgent, to 9; `None` when all requests are equally urgent.
    pub urgency: Option<u8>,
    /// Last event that the caller received, if a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Reason why a backend server did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The server has no capacity, or no time left for the request.
    Full,
    /// Another instance of the server, or another server, has the address.
    OtherInstance,
}

/// Head of a backend server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the answered request, as reported by the server.
    pub id: Option<String>,
    /// Reason why the server did not run the request, if it states that nothing ran.
    pub unrun: Option<NotRunReason>,
    /// Whether a header marks the response as created by the server itself.
    pub is_signed: bool,
    /// Whether the body has a content encoding, which no caller requests.
    pub is_encoded: bool,
    /// Hints of the server about its own state.
    pub hints: ServerHints,
}

/// Parses and builds the headers of one platform.
pub trait Wire: Send + Sync {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// [`MalformedHeader`] if a header can't be parsed.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, MalformedHeader>;

    /// Returns the headers for a backend server: those of `dispatch`, and the caller's without
    /// hop-by-hop headers and those reserved for the system.
    fn request_headers(&self, caller: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Returns the headers for the caller: the server's without hop-by-hop headers.
    fn response_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Parses the head of a server's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns the path of the platform's readiness check of this daemon.
    fn ready_path(&self) -> &'static str;
}
