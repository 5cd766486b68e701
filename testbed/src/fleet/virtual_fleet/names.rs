//! Names and addresses of simulated coordinators and tasks.

use std::net::SocketAddr;

/// Port of the first coordinator; the others follow it.
const FIRST_PORT: u16 = 9000;

/// Returns the name of the coordinator with this index.
pub(super) fn coordinator_name(coordinator: usize) -> String {
    format!("c{}", coordinator + 1)
}

/// Returns the address under which workers reach the coordinator with this index.
pub(super) fn address(coordinator: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + coordinator as u16))
}

/// Returns the name of the task with this index.
pub(super) fn task_name(task: usize) -> String {
    format!("task-{task}")
}
