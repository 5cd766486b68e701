//! Pins the bytes that processes send to each other. The fixtures under `tests/fixtures/stored_forms` were written once
//! by the program at commit c001dc7; tests only read them. A fixture that no longer fits means that a new program can't
//! talk to one in service: mend the program, not the fixture.
//!
//! A `.jsonl` file holds the payload of one frame a line, in the order of the test module's values; a `.hex` file holds whole
//! frames with their headers.

use std::fmt::Write;

mod fleet;
mod hand_off;
mod learned;

/// The non-empty lines of a fixture.
fn fixture_lines(name: &str) -> Vec<String> {
    let path = format!("{}/tests/fixtures/stored_forms/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"));
    text.lines().filter(|line| !line.is_empty()).map(str::to_owned).collect()
}

/// Pairs each line of a fixture with the value that it stands for.
fn paired<T>(name: &str, values: Vec<T>) -> Vec<(String, T)> {
    let lines = fixture_lines(name);
    assert_eq!(lines.len(), values.len(), "{name} has one line for each value");
    lines.into_iter().zip(values).collect()
}

fn hex_of(bytes: &[u8]) -> String {
    let mut hex = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(hex, "{byte:02x}").unwrap();
    }
    hex
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digit).collect()
}
