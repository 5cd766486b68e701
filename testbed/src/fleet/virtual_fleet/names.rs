//! Names and addresses in a run.

use std::net::SocketAddr;

/// The first port of the coordinators' addresses, by which workers name them.
const FIRST_PORT: u16 = 9000;

/// The name of a coordinator, by its place.
pub(super) fn coordinator_name(coordinator: usize) -> String {
    format!("c{}", coordinator + 1)
}

/// The address by which workers name a coordinator.
pub(super) fn address(coordinator: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + coordinator as u16))
}

/// The name of a task, by its place.
pub(super) fn task_name(task: usize) -> String {
    format!("task-{task}")
}
