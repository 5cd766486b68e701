//! Codes of AJP/1.3: message types, methods, header names and attributes.

/// Request header names that have a code; codes start at 1.
pub(super) const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "authorization",
    "connection",
    "content-type",
    "content-length",
    "cookie",
    "cookie2",
    "host",
    "pragma",
    "referer",
    "user-agent",
];

/// Response header names that have a code; codes start at 1.
pub(super) const RESPONSE_HEADERS: [&str; 11] = [
    "Content-Type",
    "Content-Language",
    "Content-Length",
    "Date",
    "Last-Modified",
    "Location",
    "Set-Cookie",
    "Set-Cookie2",
    "Servlet-Engine",
    "Status",
    "WWW-Authenticate",
];

/// Methods that have a code; codes start at 1.
pub(super) const METHODS: [&str; 27] = [
    "OPTIONS",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "TRACE",
    "PROPFIND",
    "PROPPATCH",
    "MKCOL",
    "COPY",
    "MOVE",
    "LOCK",
    "UNLOCK",
    "ACL",
    "REPORT",
    "VERSION-CONTROL",
    "CHECKIN",
    "CHECKOUT",
    "UNCHECKOUT",
    "SEARCH",
    "MKWORKSPACE",
    "UPDATE",
    "LABEL",
    "MERGE",
    "BASELINE-CONTROL",
    "MKACTIVITY",
];

/// Code for a method that is not in [`METHODS`]; its name is in the attribute [`ATTRIBUTE_METHOD`].
pub(super) const METHOD_IN_ATTRIBUTE: u8 = 0xFF;

/// First byte of a header name that is encoded as a code.
pub(super) const CODED_NAME_PREFIX: u8 = 0xA0;

/// Length field of a null string.
pub(super) const NULL_STRING_LENGTH: u16 = 0xFFFF;

// Types of messages to a container.
pub(super) const FORWARD_REQUEST: u8 = 2;
pub(super) const SHUTDOWN: u8 = 7;
pub(super) const PING: u8 = 8;
pub(super) const CPING: u8 = 10;

// Types of messages to a web server.
pub(super) const SEND_BODY_CHUNK: u8 = 3;
pub(super) const SEND_HEADERS: u8 = 4;
pub(super) const END_RESPONSE: u8 = 5;
pub(super) const GET_BODY_CHUNK: u8 = 6;
pub(super) const CPONG: u8 = 9;

// Attributes of a Forward Request.
pub(super) const ATTRIBUTE_CONTEXT: u8 = 0x01;
pub(super) const ATTRIBUTE_REMOTE_USER: u8 = 0x03;
pub(super) const ATTRIBUTE_SSL_SESSION: u8 = 0x09;
pub(super) const ATTRIBUTE_REQUEST: u8 = 0x0A;
pub(super) const ATTRIBUTE_SSL_KEY_SIZE: u8 = 0x0B;
pub(super) const ATTRIBUTE_SECRET: u8 = 0x0C;
pub(super) const ATTRIBUTE_METHOD: u8 = 0x0D;
pub(super) const ATTRIBUTES_DONE: u8 = 0xFF;
