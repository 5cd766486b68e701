//! Reads AJP messages off payloads.

use super::codes::{
    ABSENT_STRING, ATTRIBUTES_DONE, ATTRIBUTE_CONTEXT, ATTRIBUTE_METHOD, ATTRIBUTE_REMOTE_USER,
    ATTRIBUTE_REQUEST, ATTRIBUTE_SECRET, ATTRIBUTE_SSL_KEY_SIZE, ATTRIBUTE_SSL_SESSION, CODED_NAME, CPING,
    CPONG, END_RESPONSE, FORWARD_REQUEST, GET_BODY_CHUNK, METHODS, PING, REQUEST_HEADERS, RESPONSE_HEADERS,
    SEND_BODY_CHUNK, SEND_HEADERS, SHUTDOWN, STORED_METHOD,
};
use super::{Forward, PacketError, ToContainer, ToWebServer};

/// Reads numbers and strings off a payload; beyond its end every read fails.
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

    /// A string with its length before it and a zero behind it; `None` where it is absent.
    fn string(&mut self) -> Result<Option<&'a [u8]>, PacketError> {
        let length = self.int()?;
        if length == ABSENT_STRING {
            return Ok(None);
        }
        let text = self.bytes(usize::from(length))?;
        if self.byte()? != 0 {
            return Err(PacketError::Message);
        }
        Ok(Some(text))
    }

    /// A string in UTF-8; empty where it is absent.
    fn text(&mut self) -> Result<&'a str, PacketError> {
        std::str::from_utf8(self.string()?.unwrap_or(b"")).map_err(|_| PacketError::Message)
    }

    /// A header's name: a string, or a code in its place.
    fn header_name(&mut self, coded: &[&'static str]) -> Result<&'a str, PacketError> {
        match self.0 {
            [CODED_NAME, code, ..] => {
                let name = from_code(coded, *code);
                self.bytes(2)?;
                name
            }
            _ => self.text(),
        }
    }

    /// A number of headers, and these.
    fn headers(&mut self, coded: &[&'static str]) -> Result<Vec<(&'a str, &'a [u8])>, PacketError> {
        let mut headers = Vec::new();
        for _ in 0..self.int()? {
            let name = self.header_name(coded)?;
            headers.push((name, self.string()?.unwrap_or(b"")));
        }
        Ok(headers)
    }
}

/// The entry of a table whose codes begin at 1.
fn from_code(table: &[&'static str], code: u8) -> Result<&'static str, PacketError> {
    let entry = usize::from(code).checked_sub(1).and_then(|index| table.get(index));
    entry.copied().ok_or(PacketError::Message)
}

/// Reads a message to a container.
///
/// # Errors
///
/// [`PacketError::Message`] where the payload is no such message.
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
    let stored_method = read_attributes(&mut reader, &mut forward)?;
    forward.method = match method {
        STORED_METHOD => stored_method.ok_or(PacketError::Message)?,
        code => from_code(&METHODS, code)?,
    };
    Ok(forward)
}

/// Reads the attributes of a Forward Request; gives the method back where one of them states it.
fn read_attributes<'a>(
    reader: &mut Reader<'a>,
    forward: &mut Forward<'a>,
) -> Result<Option<&'a str>, PacketError> {
    let mut stored_method = None;
    loop {
        match reader.byte()? {
            ATTRIBUTES_DONE => return Ok(stored_method),
            ATTRIBUTE_REMOTE_USER => forward.remote_user = Some(reader.text()?),
            ATTRIBUTE_SECRET => forward.secret = reader.string()?,
            ATTRIBUTE_METHOD => stored_method = Some(reader.text()?),
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

/// Reads a body packet: empty at the end of the body.
///
/// # Errors
///
/// [`PacketError::Message`] where the payload is shorter than the length that it states.
pub fn parse_body(payload: &[u8]) -> Result<&[u8], PacketError> {
    if payload.is_empty() {
        return Ok(payload);
    }
    let mut reader = Reader(payload);
    let length = reader.int()?;
    reader.bytes(usize::from(length))
}

/// Reads a message to a web server.
///
/// # Errors
///
/// [`PacketError::Message`] where the payload is no such message.
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
