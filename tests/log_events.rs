//! Compares the table of log events in `docs/operators/log.md` with the events defined in the sources of the worker and
//! the coordinator.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The folders with the sources that define log events.
const SOURCE_FOLDERS: [&str; 2] = ["src", "fleet-coordinator/src"];
const PAGE: &str = "docs/operators/log.md";
const TABLE_HEADER: &str = "| event | program | level | fields | meaning | what to do |";
const TABLE_COLUMNS: usize = 6;
const LEVELS: [&str; 4] = ["ERROR", "WARN", "INFO", "DEBUG"];
const PROGRAMS: [&str; 3] = ["worker", "coordinator", "both"];
/// The constructor of log lines that are written without a `tracing` macro.
const LINE_CONSTRUCTOR: &str = "Line::new(Level::";

/// Event names with the levels at which each event occurs.
type Events = BTreeMap<String, BTreeSet<String>>;

/// A row of the table of events.
struct Row {
    event: String,
    program: String,
    levels: BTreeSet<String>,
}

fn read_text(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Calls `visit` with the text of each source file under a folder, except tests.
fn visit_sources(folder: &Path, visit: &mut dyn FnMut(&Path, &str)) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let is_test = path.file_stem().is_some_and(|stem| stem == "tests");
        if is_test {
            continue;
        }
        if path.is_dir() {
            visit_sources(&path, visit);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            visit(&path, &std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the text before the first double quote.
fn until_quote(text: &str) -> Option<&str> {
    text.split_once('"').map(|(quoted, _)| quoted)
}

/// Adds the events of the `tracing` macro for one level. Each macro call must begin with a name, since an event without
/// one can't be listed in the table.
fn add_macro_events(path: &Path, text: &str, level: &str, events: &mut Events) {
    let opening = format!("{}!(", level.to_lowercase());
    let starts = text.match_indices(&opening).filter(|(at, _)| {
        let before = text[..*at].chars().next_back();
        !before.is_some_and(|c| c.is_alphanumeric() || c == '_')
    });
    for (at, _) in starts {
        let arguments = text[at + opening.len()..].trim_start();
        let name = arguments.strip_prefix("name: \"").and_then(until_quote);
        let line = text[..at].lines().count();
        let name = name.unwrap_or_else(|| panic!("{}:{line}: {opening} without a name", path.display()));
        events.entry(name.to_owned()).or_default().insert(level.to_owned());
    }
}

/// Adds the events whose log line is written without a `tracing` macro.
fn add_constructed_events(text: &str, events: &mut Events) {
    for (at, _) in text.match_indices(LINE_CONSTRUCTOR) {
        let arguments = &text[at + LINE_CONSTRUCTOR.len()..];
        let (level, rest) = arguments.split_once(", \"").expect("a level and a literal event name");
        let name = until_quote(rest).expect("a name");
        events.entry(name.to_owned()).or_default().insert(level.to_owned());
    }
}

fn source_events() -> Events {
    let mut events = Events::new();
    for folder in SOURCE_FOLDERS {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
        visit_sources(&folder, &mut |path, text| {
            for level in LEVELS {
                add_macro_events(path, text, level, &mut events);
            }
            add_constructed_events(text, &mut events);
        });
    }
    events
}

/// The rows of the documented table of events.
fn documented_rows() -> Vec<Row> {
    let page = read_text(PAGE);
    let (_, table) = page.split_once(TABLE_HEADER).expect("the table of events");
    let lines = table.lines().skip(2).take_while(|line| line.starts_with('|'));
    lines.map(parse_row).collect()
}

fn parse_row(line: &str) -> Row {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    assert_eq!(cells.len(), TABLE_COLUMNS, "{line}");
    assert!(cells.iter().all(|cell| !cell.is_empty()), "empty cell: {line}");
    let event = cells[0].strip_prefix('`').and_then(|cell| cell.strip_suffix('`'));
    let event = event.unwrap_or_else(|| panic!("event without backticks: {line}")).to_owned();
    let levels = cells[2].split(", ").map(str::to_owned).collect();
    Row { event, program: cells[1].to_owned(), levels }
}

#[test]
fn table_of_events_lists_exactly_the_events_in_the_sources() {
    let rows = documented_rows();
    let documented: BTreeSet<&str> = rows.iter().map(|row| row.event.as_str()).collect();
    assert_eq!(documented.len(), rows.len(), "an event has more than one row");
    let events = source_events();
    let defined: BTreeSet<&str> = events.keys().map(String::as_str).collect();
    let missing: Vec<_> = defined.difference(&documented).collect();
    let surplus: Vec<_> = documented.difference(&defined).collect();
    assert!(
        missing.is_empty() && surplus.is_empty(),
        "{PAGE} does not list {missing:?} and lists unknown {surplus:?}"
    );
}

#[test]
fn each_row_has_a_program_and_levels_at_which_its_event_occurs() {
    let events = source_events();
    for Row { event, program, levels } in documented_rows() {
        assert!(PROGRAMS.contains(&program.as_str()), "{event}: unknown program {program:?}");
        assert!(
            levels.iter().all(|level| LEVELS.contains(&level.as_str())),
            "{event}: unknown level in {levels:?}"
        );
        let occurring = events.get(&event).cloned().unwrap_or_default();
        assert_eq!(levels, occurring, "{event}: the levels in {PAGE} differ from those in the sources");
    }
}

#[test]
fn known_events_are_found_in_the_sources() {
    let events = source_events();
    let found = ["listener_opened", "lease_lost", "leader_elected", "log_lines_suppressed"];
    assert!(found.iter().all(|name| events.contains_key(*name)), "{events:?}");
    let health: Vec<_> = events["health_changed"].iter().collect();
    assert_eq!(health, ["INFO", "WARN"]);
}
