//! Compatibility of operators' TOML files. The files as of commit c001dc7 are kept under
//! `tests/fixtures/operator_files` and must decode to the same settings as the current files in `deploy/`. Tests never
//! write there.

use port_worker::config::{Config, Identity, OperatorSettings};
use port_worker::PoolReserve;
use std::net::SocketAddr;
use std::path::Path;

fn read_text(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn config() -> Config {
    Config::decode(&read_text("tests/fixtures/configuration/example.json")).unwrap()
}

fn decode(text: &str) -> OperatorSettings {
    OperatorSettings::decode(text, &config()).unwrap()
}

/// The file as of commit c001dc7 and the current one.
fn pinned_and_current(name: &str) -> [OperatorSettings; 2] {
    ["tests/fixtures/operator_files", "deploy"].map(|folder| decode(&read_text(&format!("{folder}/{name}"))))
}

/// The names of the blocks that are present in this file.
fn present_blocks(operator: &OperatorSettings) -> Vec<&'static str> {
    let blocks = [
        ("ajp", operator.ajp.is_some()),
        ("backend", operator.backend.is_some()),
        ("directory", operator.directory.is_some()),
        ("pools", operator.pools.is_some()),
        ("http2", operator.http2.is_some()),
        ("fleet", operator.fleet.is_some()),
    ];
    blocks.into_iter().filter_map(|(name, present)| present.then_some(name)).collect()
}

#[test]
fn empty_file_enables_nothing() {
    assert!(present_blocks(&decode("")).is_empty());
}

#[test]
fn ajp_file_is_decoded() {
    for operator in pinned_and_current("ajp.toml") {
        assert_eq!(present_blocks(&operator), ["ajp"]);
        let ajp = operator.ajp.unwrap();
        assert_eq!(ajp.listen.port(), 8009);
        assert_eq!(ajp.secret.as_deref(), Some("change-me"));
        assert_eq!(ajp.routes.len(), 3);
        assert_eq!(ajp.class_of("/portal/submit/now"), Some("port-submit"));
        assert_eq!(ajp.class_of("/portal"), None);
        assert_eq!(ajp.tenant_of(None, "portal.belwijs.example"), Some("belwijs"));
        assert_eq!(ajp.tenant_of(Some("veenbel-portal"), "elsewhere"), Some("veenbel"));
        assert_eq!(ajp.tenant_of(None, "elsewhere"), None);
    }
}

#[test]
fn http2_file_is_decoded() {
    for operator in pinned_and_current("http2.toml") {
        assert_eq!(present_blocks(&operator), ["http2"]);
        let http2 = operator.http2.unwrap();
        assert_eq!(http2.listen.port(), 7002);
        assert_eq!((http2.connections, http2.newcomers, http2.streams), (512, 32, 100));
        assert_eq!((http2.stream_window_kb, http2.connection_window_kb, http2.header_list_kb), (4, 64, 8));
        assert_eq!((http2.send_buffer_kb, http2.waiting_kb, http2.open_streams_kb), (8, 4096, 8192));
        assert_eq!((http2.pending_resets, http2.error_resets), (20, 64));
        assert_eq!((http2.idle_s, http2.ping_s), (30.0, 10.0));
        assert_eq!((http2.overhead_kb, http2.overhead_kb_per_s), (64, 4));
    }
}

#[test]
#[expect(clippy::float_cmp, reason = "the drift is 10 percent divided by 100, which is exactly this number")]
fn fleet_file_is_decoded() {
    for operator in pinned_and_current("fleet.toml") {
        assert_eq!(present_blocks(&operator), ["fleet"]);
        let fleet = operator.fleet.unwrap();
        assert!(!fleet.overload_enabled());
        let plan = fleet.membership(&config());
        assert_eq!([&plan.fleet, &plan.name, &plan.zone], ["polderlijn", "n1", "east"]);
        assert_eq!(plan.coordinators.iter().map(SocketAddr::port).collect::<Vec<_>>(), [7101, 7102, 7103]);
        assert_eq!(plan.drift, 0.1);
        assert!(plan.computes_totals);
        let [task] = &plan.tasks[..] else { panic!("one task, not {:?}", plan.tasks) };
        assert_eq!((task.name.as_str(), task.path.as_str()), ("nightly-report", "/report"));
        assert_eq!((task.period_s, task.deadline_s, task.idempotent), (60.0, 0.5, false));
        assert_eq!(task.address.port(), 7300);
    }
}

#[test]
fn pools_file_is_decoded() {
    for operator in pinned_and_current("pools.toml") {
        assert_eq!(present_blocks(&operator), ["pools"]);
        let plan = operator.pools.unwrap().plan(&config().settings).unwrap();
        assert_eq!((plan.min_slots, plan.max_slots, plan.min_samples), (6, 12, 16));
        assert_eq!((plan.window_s, plan.review_s, plan.slow_ratio), (10.0, 0.5, 1.6));
        assert_eq!(plan.reserve, Some(PoolReserve { pool: 0, slots: 1 }));
        // Classes in the configuration's order: status-check, eligibility, port-submit.
        assert_eq!(plan.pool_of, [0, 2, 1]);
        let pools =
            plan.pools.iter().map(|p| (p.name.as_str(), p.guarantee, p.ceiling, p.weight, p.queue_capacity));
        let expected =
            [("cheap", 0.15, 1.0, 1.0, 256), ("orders", 0.35, 1.0, 3.0, 64), ("heavy", 0.3, 0.8, 2.0, 128)];
        assert_eq!(pools.collect::<Vec<_>>(), expected);
    }
}

#[test]
fn every_key_is_decoded() {
    let operator = decode(&read_text("tests/fixtures/operator_files/every_key.toml"));
    assert_eq!(present_blocks(&operator), ["ajp", "backend", "directory", "pools", "http2", "fleet"]);

    let ajp = operator.ajp.unwrap();
    assert_eq!((ajp.listen.port(), ajp.secret.as_deref()), (8109, Some("one")));
    assert_eq!(ajp.class_of("/portal/x"), Some("status-check"));
    assert_eq!(ajp.tenant_of(Some("portal"), "portal.example"), Some("belwijs"));
    assert_eq!(ajp.tenant_of(Some("portal"), "elsewhere"), None);
    assert_eq!(ajp.tenant_of(None, "portal.example"), None);

    let backend = operator.backend.unwrap();
    assert_eq!(backend.servers.iter().map(SocketAddr::port).collect::<Vec<_>>(), [8010, 8011]);
    assert_eq!((backend.secret.as_deref(), backend.server_name.as_str()), (Some("two"), "porting.internal"));
    assert_eq!(backend.path_of("port-submit"), "/porting/submit");
    assert_eq!(backend.path_of("eligibility"), "/do/eligibility");

    let directory = operator.directory.unwrap();
    assert_eq!(directory.address.port(), 389);
    assert_eq!(
        [&directory.bind_dn, &directory.bind_password, &directory.base],
        ["cn=worker", "three", "ou=portals"]
    );
    assert_eq!(directory.identity, Identity::ServerName);
    assert_eq!([&directory.identity_attribute, &directory.tenant_attribute], ["uid", "o"]);
    assert_eq!((directory.timeout_ms, directory.cache_s, directory.cache_entries), (250.5, 30.5, 12));

    let plan = operator.pools.unwrap().plan(&config().settings).unwrap();
    assert_eq!((plan.min_slots, plan.max_slots, plan.min_samples), (5, 15, 8));
    assert_eq!((plan.window_s, plan.review_s, plan.slow_ratio), (20.5, 0.25, 2.5));
    let reserve = PoolReserve { pool: 0, slots: 2 };
    assert_eq!((plan.reserve, plan.pool_of), (Some(reserve), vec![1, 1, 0]));
    let orders = &plan.pools[0];
    assert_eq!(
        (orders.guarantee, orders.ceiling, orders.weight, orders.queue_capacity),
        (0.25, 0.75, 2.5, 32)
    );

    let http2 = operator.http2.unwrap();
    assert_eq!(
        (http2.listen.port(), http2.connections, http2.newcomers, http2.streams),
        (7102, 101, 102, 103)
    );
    assert_eq!((http2.stream_window_kb, http2.connection_window_kb, http2.header_list_kb), (104, 105, 6));
    assert_eq!((http2.send_buffer_kb, http2.waiting_kb), (107, 108));
    assert_eq!((http2.pending_resets, http2.error_resets), (109, 110));
    assert_eq!((http2.idle_s, http2.ping_s), (111.5, 112.5));
    assert_eq!((http2.overhead_kb, http2.overhead_kb_per_s), (113, 114));

    let fleet = operator.fleet.unwrap();
    assert!(fleet.overload_enabled());
    let plan = fleet.membership(&config());
    assert_eq!((plan.fleet.as_str(), plan.zone.as_str()), ("polderlijn", "west"));
    assert_eq!((plan.drift, plan.computes_totals), (0.125, false));
    let task = &plan.tasks[0];
    assert_eq!((task.period_s, task.deadline_s, task.idempotent), (30.5, 0.25, true));
    assert_eq!((task.name.as_str(), task.path.as_str()), ("nightly-report", "/report"));
}

#[test]
fn missing_optional_keys_have_defaults() {
    let operator = decode(&read_text("tests/fixtures/operator_files/needed_keys.toml"));
    assert_eq!(present_blocks(&operator), ["ajp", "backend", "directory", "pools", "http2", "fleet"]);

    let ajp = operator.ajp.unwrap();
    assert_eq!((ajp.secret.as_deref(), ajp.tenants.len()), (None, 0));

    let backend = operator.backend.unwrap();
    assert_eq!((backend.secret.as_deref(), backend.server_name.as_str()), (None, "localhost"));
    assert_eq!(backend.path_of("port-submit"), "/do/port-submit");

    let directory = operator.directory.unwrap();
    assert_eq!([&directory.bind_dn, &directory.bind_password], ["", ""]);
    assert_eq!(directory.identity, Identity::RemoteUser);
    assert_eq!((directory.timeout_ms, directory.cache_s, directory.cache_entries), (500.0, 60.0, 1024));

    let plan = operator.pools.unwrap().plan(&config().settings).unwrap();
    assert_eq!((plan.min_slots, plan.max_slots, plan.min_samples), (6, 12, 16));
    assert_eq!((plan.window_s, plan.review_s, plan.slow_ratio), (10.0, 0.5, 1.6));
    assert_eq!((plan.reserve, plan.pool_of), (None, vec![1, 1, 0]));
    let pools =
        plan.pools.iter().map(|p| (p.name.as_str(), p.guarantee, p.ceiling, p.weight, p.queue_capacity));
    let expected = [("orders", 0.0, 1.0, 1.0, 256), ("rest", 0.0, 1.0, 1.0, 256)];
    assert_eq!(pools.collect::<Vec<_>>(), expected);

    // The pinned `http2.toml` lists the default values.
    let mut http2 = operator.http2.unwrap();
    let [defaults, _] = pinned_and_current("http2.toml").map(|o| o.http2.unwrap());
    http2.listen = defaults.listen;
    assert_eq!(http2, defaults);

    let fleet = operator.fleet.unwrap();
    assert!(!fleet.overload_enabled());
    let plan = fleet.membership(&config());
    assert_eq!((plan.zone.as_str(), plan.drift, plan.computes_totals), ("none", 0.1, true));
    assert_eq!((plan.tasks[0].path.as_str(), plan.tasks[0].deadline_s), ("/", 0.5));
}

#[test]
fn unknown_key_in_any_block_is_an_error_that_names_it() {
    let text = read_text("tests/fixtures/operator_files/every_key.toml");
    for header in text.lines().filter(|line| line.starts_with('[') && *line != "[backend.paths]") {
        let invalid = text.replacen(header, &format!("{header}\nmisspelt = 1"), 1);
        let error = OperatorSettings::decode(&invalid, &config()).expect_err(header).to_string();
        assert!(error.contains("unknown field `misspelt`"), "{header}: {error}");
    }
    let error = OperatorSettings::decode("[misspelt]\n", &config()).unwrap_err().to_string();
    assert!(error.contains("unknown field `misspelt`"), "{error}");
}

/// The platform reads `deploy/balancer.toml`: its keys are fixed, and its paths must exist in the repository.
#[test]
fn platform_file_names_existing_paths() {
    let file: toml::Table = read_text("deploy/balancer.toml").parse().unwrap();
    let mut keys: Vec<&str> = file.keys().map(String::as_str).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["build", "node", "packages", "policy", "run", "sim"]);
    for key in ["policy", "node"] {
        for path in file[key].as_array().unwrap() {
            let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path.as_str().unwrap());
            assert!(path.exists(), "{key} names {}", path.display());
        }
    }
}
