//! Formatting of one log line.

use std::fmt::{self, Write};
use tracing::field::{Field, Visit};
use tracing::Level;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};

/// Maximum length of a field value (bytes); longer values are truncated. It exceeds [`MAX_PEER_TEXT_BYTES`] for the
/// state of all pools, which this program generates itself.
pub(super) const MAX_VALUE_BYTES: usize = 16 * 1024;
/// Maximum length of a peer's text in a field value (bytes).
const MAX_PEER_TEXT_BYTES: usize = 200;

/// Truncates a peer's text to the length that is allowed in the log.
#[must_use]
pub fn excerpt(text: &str) -> &str {
    truncate(text, MAX_PEER_TEXT_BYTES)
}

fn truncate(text: &str, max_bytes: usize) -> &str {
    let mut end = max_bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// A log line without its line break.
pub(super) struct Line {
    text: String,
}

impl Line {
    /// Starts a line with the current time, the level and the name of an event.
    pub(super) fn new(level: Level, name: &str) -> Line {
        let mut text = String::new();
        // The line is written without the time if formatting it fails.
        let _ = SystemTime.format_time(&mut Writer::new(&mut text));
        let mut line = Line { text };
        line.append(format_args!(" {level} {name}"));
        line
    }

    /// Appends a field. Values that are not a single plain word are quoted as in JSON.
    pub(super) fn push(&mut self, key: &str, value: fmt::Arguments<'_>) {
        let value = value.to_string();
        let value = truncate(&value, MAX_VALUE_BYTES);
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
                // Unescaped control characters could break the line or act on a terminal.
                _ if character.is_control() => {
                    self.append(format_args!("\\u{:04x}", u32::from(character)));
                }
                _ => self.text.push(character),
            }
        }
        self.text.push('"');
    }

    /// Returns the line with its line break.
    pub(super) fn finish(mut self) -> String {
        self.text.push('\n');
        self.text
    }

    fn append(&mut self, text: fmt::Arguments<'_>) {
        // Writing to a string does not fail.
        let _ = self.text.write_fmt(text);
    }
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field.name(), format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Skips the message: `tracing` adds an empty one to events without fields.
        if field.name() != "message" {
            self.push(field.name(), format_args!("{value:?}"));
        }
    }
}

/// Returns whether a value can be written without quotes.
fn is_plain(value: &str) -> bool {
    let is_word = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\' | b'=');
    !value.is_empty() && value.bytes().all(is_word)
}
