//! Names of objects in the paths of calls.

use std::fmt::Display;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// What a path segment or a query value must not contain as it is: all but the unreserved
/// characters of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns a name of any characters as a path segment or a query value.
///
/// ```
/// use berylgw_platform::encode_name;
///
/// assert_eq!(encode_name("edge-1").to_string(), "edge-1");
/// assert_eq!(encode_name("a server&b").to_string(), "a%20server%26b");
/// ```
pub fn encode_name(name: &str) -> impl Display {
    utf8_percent_encode(name, RESERVED)
}
