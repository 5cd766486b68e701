//! Requests by their names on the wire and by the controller's numbers.

use crate::interface::RequestId;
use std::collections::HashMap;

/// The names of one instance's requests.
#[derive(Default)]
pub(super) struct RequestNames {
    ids: HashMap<String, u64>,
    names: HashMap<u64, String>,
    last: u64,
}

impl RequestNames {
    /// The number of a name, which is new where the name is.
    pub(super) fn insert(&mut self, name: String) -> RequestId {
        if let Some(&id) = self.ids.get(&name) {
            return RequestId(id);
        }
        self.last += 1;
        self.names.insert(self.last, name.clone());
        self.ids.insert(name, self.last);
        RequestId(self.last)
    }

    /// The number of a name. An unknown name gets number 0, which no request has.
    pub(super) fn find(&self, name: &str) -> RequestId {
        RequestId(self.ids.get(name).copied().unwrap_or(0))
    }

    /// The name of a number.
    pub(super) fn name(&self, id: RequestId) -> Option<&str> {
        self.names.get(&id.0).map(String::as_str)
    }

    /// Forgets a request that no later event or action names.
    pub(super) fn release(&mut self, id: RequestId) {
        if let Some(name) = self.names.remove(&id.0) {
            self.ids.remove(&name);
        }
    }
}
