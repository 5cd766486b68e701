//! Parses AJP messages.

use super::codes::{
    ATTRIBUTES_DONE, ATTRIBUTE_CONTEXT, ATTRIBUTE_METHOD, ATTRIBUTE_REMOTE_USER, ATTRIBUTE_REQUEST,
    ATTRIBUTE_SECRET, ATTRIBUTE_SSL_KEY_SIZE, ATTRIBUTE_SSL_SESSION, CODED_NAME_PREFIX, CPING, CPONG,
    END_RESPONSE, FORWARD_REQUEST, GET_BODY_CHUNK, METHODS, METHOD_IN_ATTRIBUTE, NULL_STRING_LENGTH, PING,
    REQUEST_HEADERS, RESPONSE_HEADERS, SEND_BODY_CHUNK, SEND_HEADERS, SHUTDOWN,
};
use super::{Forward, PacketError, ToContainer, ToWebServer};

/// Reads integers and strings from a payload; a read beyond its end fails.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], PacketError> {
        if count > self.0.len() {
            return Err(PacketError::Message);
        }
        let (taken, rest) = self.0.split_at(count);
        self.0 = rest;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, PacketError> {
        Ok(self.bytes(1)?[0])
    }

    fn int(&mut self) -> Result<u16, PacketError> {
        let bytes = self.bytes(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    /// Reads a string with a length prefix and a terminating zero; `None` for a null string.
    fn string(&mut self) -> Result<Option<&'a [u8]>, PacketError> {
        let length = self.int()?;
        if length == NULL_STRING_LENGTH {
            return Ok(None);
        }
        let text = self.bytes(usize::from(length))?;
        if self.byte()? != 0 {
            return Err(PacketError::Message);
        }
        Ok(Some(text))
    }

    /// Reads a UTF-8 string; empty for a null string.
    fn text(&mut self) -> Result<&'a str, PacketError> {
        std::str::from_utf8(self.string()?.unwrap_or(b"")).map_err(|_| PacketError::Message)
    }

    /// Reads a header name, which is either a code or a string.
    fn header_name(&mut self, coded_names: &[&'static str]) -> Result<&'a str, PacketError> {
        match self.0 {
            [CODED_NAME_PREFIX, code, ..] => {
                let name = from_code(coded_names, *code);
                self.bytes(2)?;
                name
            }
            _ => self.text(),
        }
    }

    /// Reads the number of headers and the headers.
    fn headers(&mut self, coded_names: &[&'static str]) -> Result<Vec<(&'a str, &'a [u8])>, PacketError> {
        let mut headers = Vec::new();
        for _ in 0..self.int()? {
            let name = self.header_name(coded_names)?;
            headers.push((name, self.string()?.unwrap_or(b"")));
        }
        Ok(headers)
    }
}

/// Looks up a code in a table whose codes start at 1.
fn from_code(table: &[&'static str], code: u8) -> Result<&'static str, PacketError> {
    let entry = usize::from(code).checked_sub(1).and_then(|index| table.get(index));
    entry.copied().ok_or(PacketError::Message)
}

/// Parses a message from a web server to a container.
///
/// # Errors
///
/// [`PacketError::Message`] if the payload is not such a message.
pub fn parse_to_container(payload: &[u8]) -> Result<ToContainer<'_>, PacketError> {
    let mut reader = Reader(payload);
    match reader.byte()? {
        FORWARD_REQUEST => read_forward(reader).map(|forward| ToContainer::Forward(Box::new(forward))),
        SHUTDOWN => Ok(ToContainer::Shutdown),
        PING => Ok(ToContainer::Ping),
        CPING => Ok(ToContainer::CPing),
        _ => Err(PacketError::Message),
    }
}

fn read_forward(mut reader: Reader<'_>) -> Result<Forward<'_>, PacketError> {
    let method = reader.byte()?;
    let mut forward = Forward::default();
    reader.text()?; // The protocol.
    forward.uri = reader.text()?;
    reader.string()?; // The remote address.
    reader.string()?; // The remote host.
    forward.server_name = reader.text()?;
    reader.int()?; // The server's port.
    reader.byte()?; // Whether TLS was used.
    forward.headers = reader.headers(&REQUEST_HEADERS)?;
    let method_attribute = read_attributes(&mut reader, &mut forward)?;
    forward.method = match method {
        METHOD_IN_ATTRIBUTE => method_attribute.ok_or(PacketError::Message)?,
        code => from_code(&METHODS, code)?,
    };
    Ok(forward)
}

/// Reads the attributes of a Forward Request; returns the method if one of them contains it.
fn read_attributes<'a>(
    reader: &mut Reader<'a>,
    forward: &mut Forward<'a>,
) -> Result<Option<&'a str>, PacketError> {
    let mut method_attribute = None;
    loop {
        match reader.byte()? {
            ATTRIBUTES_DONE => return Ok(method_attribute),
            ATTRIBUTE_REMOTE_USER => forward.remote_user = Some(reader.text()?),
            ATTRIBUTE_SECRET => forward.secret = reader.string()?,
            ATTRIBUTE_METHOD => method_attribute = Some(reader.text()?),
            ATTRIBUTE_REQUEST => {
                reader.string()?; // The name.
                reader.string()?; // The value.
            }
            ATTRIBUTE_SSL_KEY_SIZE => {
                reader.int()?;
            }
            ATTRIBUTE_CONTEXT..=ATTRIBUTE_SSL_SESSION => {
                reader.string()?;
            }
            _ => return Err(PacketError::Message),
        }
    }
}

/// Parses a body packet; the result is empty at the end of the body.
///
/// # Errors
///
/// [`PacketError::Message`] if the payload is shorter than its length field says.
pub fn parse_body(payload: &[u8]) -> Result<&[u8], PacketError> {
    if payload.is_empty() {
        return Ok(payload);
    }
    let mut reader = Reader(payload);
    let length = reader.int()?;
    reader.bytes(usize::from(length))
}

/// Parses a message from a container to a web server.
///
/// # Errors
///
/// [`PacketError::Message`] if the payload is not such a message.
pub fn parse_to_web_server(payload: &[u8]) -> Result<ToWebServer<'_>, PacketError> {
    let mut reader = Reader(payload);
    match reader.byte()? {
        SEND_BODY_CHUNK => {
            let length = reader.int()?;
            Ok(ToWebServer::Chunk(reader.bytes(usize::from(length))?))
        }
        SEND_HEADERS => {
            let status = reader.int()?;
            reader.string()?; // The reason.
            let headers = reader.headers(&RESPONSE_HEADERS)?;
            Ok(ToWebServer::Headers { status, headers })
        }
        END_RESPONSE => Ok(ToWebServer::End { reuse: reader.byte()? != 0 }),
        GET_BODY_CHUNK => Ok(ToWebServer::GetBody(reader.int()?)),
        CPONG => Ok(ToWebServer::CPong),
        _ => Err(PacketError::Message),
    }
}
