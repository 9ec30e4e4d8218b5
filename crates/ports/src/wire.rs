//! The wire port: how callers and backend servers of another platform write
//! what the daemon speaks of in its own words.

use std::time::Duration;

use bankcove_core::hints::ServerHints;
use bankcove_core::{Name, Tokens};
use http::{HeaderMap, StatusCode};

/// One part of a prompt; parts that come first may be shared by requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a request says of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt.
    pub input_tokens: Tokens,
    /// Most tokens of the answer.
    pub output_limit: Tokens,
    /// Its parts in order; the last one is the request's or its session's own.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Length of the parts that other requests may share.
    pub fn shared_tokens(&self) -> Tokens {
        let parts = self.parts.len().saturating_sub(1);
        self.parts[..parts].iter().map(|part| part.tokens).sum()
    }
}

/// What a caller's request says in its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Names the attempt of the caller; each attempt has a name of its own.
    pub id: String,
    /// The key that the caller shows.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The prompt, of a request for a model.
    pub prompt: Option<Prompt>,
    /// The last event of a broken stream that the caller goes on with.
    pub resume_after: Option<u64>,
}

/// A header that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header '{header}' {problem}")]
pub struct MalformedHeader {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// What a backend server is told besides what the caller wrote.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'a> {
    /// The start of the server that is meant; any other refuses.
    pub server: &'a Name,
    /// Who pays; none on a public route.
    pub workspace: Option<&'a Name>,
    /// Address of a server that may have read the prompt's shared parts: a copy of
    /// its memory spares reading them.
    pub copy_from: Option<&'a str>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Urgency, 0 first.
    pub urgency: Option<u8>,
    /// The last event that the caller has, when a stream goes on.
    pub resume_after: Option<u64>,
}

/// Why a backend server did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It has no room, or no time left for the request.
    Full,
    /// Another start, or another server, has the address.
    OtherInstance,
}

/// The head of a backend server's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// The request that it answers, as the server says.
    pub id: Option<String>,
    /// Proof that nothing ran.
    pub unrun: Option<NotRunReason>,
    /// Whether the server's mark on answers that it made itself is there.
    pub is_signed: bool,
    /// Whether the body is encoded, which no caller has asked for.
    pub is_encoded: bool,
    /// What the server says of itself.
    pub hints: ServerHints,
}

/// Reads and writes the headers of one platform.
pub trait Wire: Send + Sync {
    /// Reads what a caller's request says.
    ///
    /// # Errors
    /// [`MalformedHeader`] names the header that can't be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, MalformedHeader>;

    /// Headers for a backend server: the caller's, but for those that concern
    /// one connection and those that are the system's to set.
    fn request_headers(&self, caller: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Headers for the caller: the server's, but for those that concern one
    /// connection.
    fn response_headers(&self, server: &HeaderMap) -> HeaderMap;

    /// Reads the head of a server's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Path by which the platform asks whether this daemon takes connections.
    fn ready_path(&self) -> &'static str;
}
