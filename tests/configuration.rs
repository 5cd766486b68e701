//! Compatibility of the configuration file. The example as of commit c001dc7 is kept under
//! `tests/fixtures/configuration` and must decode to the same settings as the current `examples/config.json`. Tests
//! never write there.

#![expect(clippy::float_cmp, reason = "numbers are passed through unchanged, so they must be exactly equal")]

use port_worker::config::{read_gauges, Config};
use port_worker::{Idempotency, Preemption, Settings, Signal};

fn read_text(path: &str) -> String {
    let path = format!("{}/{path}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

fn example() -> String {
    read_text("tests/fixtures/configuration/example.json")
}

/// The example as of commit c001dc7 and the current one.
fn pinned_and_current() -> [Config; 2] {
    [example(), read_text("examples/config.json")].map(|text| Config::decode(&text).unwrap())
}

/// The admission controller's settings of the example after this replacement.
fn settings_with(from: &str, to: &str) -> Settings {
    let text = example();
    assert!(text.contains(from), "the example does not contain {from}");
    Config::decode(&text.replacen(from, to, 1)).unwrap().settings.settings(0)
}

#[test]
fn process_settings_are_decoded() {
    for config in pinned_and_current() {
        assert_eq!(config.name, "n1");
        assert_eq!((config.listen.port(), config.executor.port()), (7001, 7300));
        assert_eq!(config.console.map(|a| a.port()), Some(7010));
        assert_eq!(config.registry.map(|a| a.port()), Some(2379));
        assert_eq!(config.records.map(|a| a.port()), Some(8900));
        assert_eq!(config.seed_number(), 0x8c1f_30d2_7a5b_e964);
        assert_eq!(config.stop_ms, 3200.0);
        assert_eq!((config.limits.memory_mb, config.limits.sockets), (192.0, 1024));
        assert!(config.settings.domain.passes_deadline);
    }
}

#[test]
fn classes_and_tenants_are_decoded() {
    for config in pinned_and_current() {
        let names = config.settings.profiles.iter().map(|p| p.name.as_str());
        assert_eq!(names.collect::<Vec<_>>(), ["status-check", "eligibility", "port-submit"]);
        let names = config.settings.tenants.iter().map(|t| t.name.as_str());
        assert_eq!(names.collect::<Vec<_>>(), ["belwijs", "veenbel"]);

        let settings = config.settings.settings(0);
        let classes = settings.classes.iter().map(|c| (c.weight, c.late_weight, c.objective_s, c.deadline_s));
        let expected = [(1.0, 0.0, 1.9, 4.7), (2.0, 0.2, 1.9, 4.7), (5.0, 0.0, 1.3, 3.4)];
        assert_eq!(classes.collect::<Vec<_>>(), expected);
        let classes = settings
            .classes
            .iter()
            .map(|c| (c.idempotency, c.window_s, c.makes_calls, c.skipped_call_weight));
        let expected = [
            (Idempotency::Idempotent, 5.0, true, 0.6),
            (Idempotency::Idempotent, 5.0, true, 0.6),
            (Idempotency::Keyed, 10.191, true, 0.0),
        ];
        assert_eq!(classes.collect::<Vec<_>>(), expected);
        let quotas = settings.tenants.iter().map(|t| t.quota_per_s);
        assert_eq!(quotas.collect::<Vec<_>>(), [40.0, 23.0]);
    }
}

#[test]
fn controller_settings_are_decoded() {
    for config in pinned_and_current() {
        let settings = config.settings.settings(config.seed_number());
        assert_eq!(settings.seed, 0x8c1f_30d2_7a5b_e964);
        assert_eq!((settings.cores, settings.callers, settings.workers), (6, 3, 10));
        assert_eq!((settings.cold, settings.cold_speed, settings.warm_up_s), (false, 0.26, 18.0));
        assert_eq!((settings.survivable_multiple, settings.survivable_window_s), (8.0, 3.0));
        assert_eq!(
            (settings.memory_kb, settings.run_memory_factor, settings.key_entry_kb),
            (18648.0, 8.0, 106.12)
        );
        assert_eq!((settings.shutdown_grace_s, settings.answer_slack_s), (2.5, 0.1));
        assert_eq!(
            (settings.min_event_interval_s, settings.max_retry_after_s, settings.max_connection_idle_s),
            (0.004, 1.0, 30.0)
        );
        assert_eq!(settings.over_quota_weight, 0.1);
        assert!(settings.marks_retries && settings.callers_see_health);
        assert_eq!((settings.preemption, settings.signal), (Preemption::Never, Signal::Weight));
        let dependency = settings.dependency.unwrap();
        assert_eq!((dependency.share, dependency.window_s, dependency.linger_s), (5.0, 5.0, 0.2));
        assert!(settings.pools.is_none() && !settings.fleet_overload_control);
    }
}

#[test]
fn platform_terms_keep_their_meaning() {
    let with_effect =
        |value: &str| settings_with("\"effect\": \"safe\"", &format!("\"effect\": \"{value}\""));
    assert_eq!(with_effect("keyed").classes[0].idempotency, Idempotency::Keyed);
    assert_eq!(with_effect("unsafe").classes[0].idempotency, Idempotency::NotIdempotent);

    let with_halt =
        |value: &str| settings_with("\"halt\": \"silent\"", &format!("\"halt\": \"{value}\"")).preemption;
    assert_eq!(with_halt("discard"), Preemption::Discard);
    assert_eq!(with_halt("freeze"), Preemption::Pause);
    assert_eq!(with_halt("later"), Preemption::Never);

    let with_signal =
        |value: &str| settings_with("\"signal\": \"weight\"", &format!("\"signal\": \"{value}\"")).signal;
    assert_eq!(with_signal("floor"), Signal::RankFloor);
    assert_eq!(with_signal("silent"), Signal::None);

    assert!(settings_with("\"one_for_all\"", "\"silent\"").dependency.is_none());
    assert!(settings_with("\"nCores\"", "\"cold\": true, \"nCores\"").cold);
    assert_eq!(settings_with("\"retryAfter\": true", "\"retryAfter\": false").max_retry_after_s, 0.0);
    assert!(!settings_with("\"readiness\": true", "\"readiness\": false").callers_see_health);
    assert!(!settings_with("\"marksRetry\": true", "\"marksRetry\": false").marks_retries);
}

#[test]
fn gauges_are_found_by_the_platforms_names() {
    let names = Config::decode(&example()).unwrap().settings.domain.own_stats;
    assert_eq!(names, ["cpu_busy", "runnable", "mem_used", "sockets"]);
    let gauges = read_gauges(&names, &[0.5, 7.0, 100.0, 42.0]);
    assert_eq!(gauges.cores_busy, Some(0.5));
    assert_eq!(gauges.runnable, Some(7.0));
    assert_eq!(gauges.connections, Some(42.0));
}

#[test]
fn missing_optional_keys_have_defaults_and_unknown_keys_are_ignored() {
    let text = read_text("tests/fixtures/configuration/needed_keys.json");
    let config = Config::decode(&text).unwrap();
    assert_eq!((config.name.as_str(), config.seed.as_str(), config.stop_ms), ("n2", "", 3200.0));
    assert!(config.console.is_none() && config.registry.is_none() && config.records.is_none());
    assert_eq!((config.limits.memory_mb, config.limits.sockets), (192.0, 1024));
    let settings = config.settings.settings(0);
    assert_eq!((settings.cores, settings.memory_kb, settings.callers), (2, 4096.0, 0));
    assert_eq!((settings.classes[0].objective_s, settings.classes[0].deadline_s), (1.0, 2.0));
    assert!(settings.dependency.is_none() && settings.tenants.is_empty());
    assert!(!settings.classes[0].makes_calls && !settings.marks_retries && !settings.callers_see_health);
    assert_eq!((settings.preemption, settings.signal), (Preemption::Never, Signal::None));
}

#[test]
fn missing_required_key_is_an_error() {
    let text = read_text("tests/fixtures/configuration/needed_keys.json");
    for key in
        ["name", "listen", "executor", "settings", "nCores", "heapKb", "effect", "targetS", "deadlineS"]
    {
        let other = text.replacen(&format!("\"{key}\""), "\"other\"", 1);
        assert_ne!(other, text, "{key}");
        assert!(Config::decode(&other).is_err(), "{key}");
    }
}
