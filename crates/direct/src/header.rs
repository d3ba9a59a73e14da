//! Names of the headers that entries read and write.

use hyper::header::HeaderName;

/// Header names of a deployment.
///
/// The meaning of each is the product's; an adapter gives the spelling.
#[derive(Clone, Debug)]
pub struct Names {
    /// Identity of one sending by a client; servers repeat it in the answer.
    pub request: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline: HeaderName,
    /// Signature of the server over its answer.
    pub signature: HeaderName,
    /// Name of the client account, set for the server.
    pub account: HeaderName,
    /// Identity that a server must have to run the request.
    pub expected_server: HeaderName,
    /// Present if the server did not run the request.
    pub not_run: HeaderName,
    /// Identity of the server that an answer without a run is about.
    pub failed_server: HeaderName,
    /// Position after which a resumed stream continues.
    pub last_event: HeaderName,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: HeaderName,
}
