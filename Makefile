.PHONY: build test lint run toy fleet

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# Starts a worker with the toy site's addresses; start `make toy` in another terminal first.
run: build
	ROUTER_CONFIG=examples/config.json target/release/port-worker

toy:
	cargo run --locked --example toy_site

# Runs three coordinators and six workers on loopback until Ctrl-C; `testbed fault target/fleet ...` injects faults.
fleet:
	cargo build --release --locked --workspace
	target/release/testbed fleet testbed/fleets/small.toml --folder target/fleet
