//! Default settings of the worker under test.

use serde_json::{json, Value};

/// Settings of a small service with one tenant and two cores: class `look` is idempotent and class `order` requires an
/// idempotency key; both call the records service.
#[must_use]
pub fn settings() -> Value {
    json!({
        "profiles": [
            {"name": "look", "credit": 1.0, "targetS": 4.0, "deadlineS": 8.0, "effect": "safe", "windowS": 5.0},
            {"name": "order", "credit": 5.0, "targetS": 4.0, "deadlineS": 8.0, "effect": "keyed", "windowS": 30.0}
        ],
        "tenants": [{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}],
        "domain": {
            "nCores": 2, "heapKb": 90000.0, "runFactor": 4.0, "entryKb": 100.0, "idleS": 30.0,
            "dependsOn": "one_for_all", "fairCalls": 8.0, "depWindowS": 5.0, "staysForS": 0.2,
            "classCalls": [true, true], "degradedWorth": [0.6, 0.0], "passesDeadline": true,
            "signal": "weight", "ownStats": ["cpu_busy", "runnable", "mem_used", "sockets"], "senders": 2
        },
        "contract": {"fallMultiple": 8.0, "tipAfterS": 3.0, "drainGraceS": 2.0, "graceToAnswerS": 0.1},
        "limits": {"maxRetryAfterS": 1.0, "retryAfter": true},
        "clients": {"marksRetry": true}, "overShareWorth": 0.1, "servers": 2, "periodS": 0.004
    })
}

/// Adds a second tenant, named `bolt`, to the settings of a configuration.
///
/// # Panics
/// Panics if the configuration has no list of tenants.
pub fn add_second_tenant(configuration: &mut Value) {
    let tenants = configuration["settings"]["tenants"].as_array_mut().unwrap();
    tenants.push(json!({"name": "bolt", "quotaPerS": 1000.0, "share": 0.5}));
    tenants[0]["share"] = json!(0.5);
}
