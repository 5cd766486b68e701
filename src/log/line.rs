//! The text of one line of the log.

use std::fmt::{self, Write};
use tracing::field::{Field, Visit};
use tracing::Level;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};

/// Longest value of a field (bytes); what goes beyond it is cut. Only the state of all pools is longer than a peer's text
/// may be, and the program makes that itself.
pub(super) const MAX_VALUE_BYTES: usize = 16 * 1024;
/// Longest text of a peer in a value (bytes).
const MAX_PEER_TEXT_BYTES: usize = 200;

/// A peer's text, cut to the length that a line may show of it.
#[must_use]
pub fn excerpt(text: &str) -> &str {
    cut(text, MAX_PEER_TEXT_BYTES)
}

fn cut(text: &str, max_bytes: usize) -> &str {
    let mut end = max_bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// One line, without its end.
pub(super) struct Line {
    text: String,
}

impl Line {
    /// A line with the time, the level and the name of an event.
    pub(super) fn new(level: Level, name: &str) -> Line {
        let mut text = String::new();
        // A clock that can't be formatted must not cost the line.
        let _ = SystemTime.format_time(&mut Writer::new(&mut text));
        let mut line = Line { text };
        line.append(format_args!(" {level} {name}"));
        line
    }

    /// Adds a field. Text that is more than one plain word is quoted as in JSON.
    pub(super) fn push(&mut self, key: &str, value: fmt::Arguments<'_>) {
        let value = value.to_string();
        let value = cut(&value, MAX_VALUE_BYTES);
        self.append(format_args!(" {key}="));
        if is_plain(value) {
            self.text.push_str(value);
        } else {
            self.push_quoted(value);
        }
    }

    fn push_quoted(&mut self, value: &str) {
        self.text.push('"');
        for character in value.chars() {
            match character {
                '"' | '\\' => {
                    self.text.push('\\');
                    self.text.push(character);
                }
                // Control characters could end the line or drive a terminal.
                _ if character.is_control() => {
                    self.append(format_args!("\\u{:04x}", u32::from(character)));
                }
                _ => self.text.push(character),
            }
        }
        self.text.push('"');
    }

    /// The line with its end.
    pub(super) fn finish(mut self) -> String {
        self.text.push('\n');
        self.text
    }

    fn append(&mut self, text: fmt::Arguments<'_>) {
        // Writing to a string can't fail.
        let _ = self.text.write_fmt(text);
    }
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field.name(), format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // An event without fields carries an empty message.
        if field.name() != "message" {
            self.push(field.name(), format_args!("{value:?}"));
        }
    }
}

/// Whether a value needs no quotes.
fn is_plain(value: &str) -> bool {
    let is_word = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\' | b'=');
    !value.is_empty() && value.bytes().all(is_word)
}
