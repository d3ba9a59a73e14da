//! Names of the HTTP headers that entries read and write.

use hyper::header::HeaderName;

/// Header names of a deployment.
///
/// The product defines the meaning of each header, the platform adapter its
/// name.
#[derive(Clone, Debug)]
pub struct Names {
    /// Id of one attempt of a client; servers echo it in the answer.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline: HeaderName,
    /// Signature of the server over its answer.
    pub signature: HeaderName,
    /// Name of the client account, set for the server.
    pub account: HeaderName,
    /// Id of the server that shall run the request; any other refuses it.
    pub expected_server: HeaderName,
    /// Present in the answer of a server that did not run the request.
    pub not_run: HeaderName,
    /// Id of the failed server because of which the request was not run.
    pub failed_server: HeaderName,
    /// Id of the event after which a resumed stream continues.
    pub last_event: HeaderName,
    /// Number of tokens of the prompt and the most of the answer.
    pub token_count: HeaderName,
    /// Requests per second that a server takes from all entries together.
    pub rate_limit: HeaderName,
    /// `1` in all answers of a server that leaves.
    pub server_leaving: HeaderName,
    /// Parts of the prompt in order, as `id:tokens` separated by commas. The last
    /// one belongs to the request itself.
    pub prompt_parts: HeaderName,
}
