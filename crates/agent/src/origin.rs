//! Matching of an engine's answer to its request by id.

use std::borrow::Cow;

use serde::Deserialize;

#[derive(Deserialize)]
struct Named<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
}

/// Returns whether an event can belong to the request `request_id`.
///
/// Engines return the id that they received, with or without a prefix, or the
/// id of the attempt. An event without an id cannot be matched and is accepted.
///
/// ```
/// use berylgw_agent::origin::is_event_of;
///
/// assert!(is_event_of(b"data: {\"id\":\"chatcmpl-r7\"}\n\n", "r7"));
/// assert!(!is_event_of(b"data: {\"id\":\"chatcmpl-r8\"}\n\n", "r7"));
/// ```
pub fn is_event_of(event: &[u8], request_id: &str) -> bool {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        if !is_answer_of(data, request_id) {
            return false;
        }
    }
    true
}

/// Returns whether a complete JSON answer can belong to the request
/// `request_id`.
pub fn is_answer_of(text: &[u8], request_id: &str) -> bool {
    let named = serde_json::from_slice::<Named<'_>>(text);
    let Some(id) = named.ok().and_then(|named| named.id) else {
        return true;
    };
    is_named(&id, request_id)
}

fn is_named(id: &str, request_id: &str) -> bool {
    let without_attempt = id.rsplit_once('.').map_or(id, |(id, attempt)| {
        let numeric = !attempt.is_empty() && attempt.bytes().all(|byte| byte.is_ascii_digit());
        if numeric { id } else { "" }
    });
    [id, without_attempt].into_iter().any(|id| {
        id.strip_suffix(request_id)
            .is_some_and(|prefix| prefix.is_empty() || prefix.ends_with('-'))
    })
}
