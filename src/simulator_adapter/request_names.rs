//! Maps request names in the simulator's messages to the controller's request IDs.

use crate::interface::RequestId;
use std::collections::HashMap;

/// Names and IDs of one instance's requests.
#[derive(Default)]
pub(super) struct RequestNames {
    ids: HashMap<String, RequestId>,
    names: HashMap<RequestId, String>,
    last_id: RequestId,
}

impl RequestNames {
    /// Returns the ID of a name, and assigns the next ID to a new name.
    pub(super) fn insert(&mut self, name: String) -> RequestId {
        if let Some(&id) = self.ids.get(&name) {
            return id;
        }
        self.last_id.0 += 1;
        self.names.insert(self.last_id, name.clone());
        self.ids.insert(name, self.last_id);
        self.last_id
    }

    /// Returns the ID of a name; 0, which no request has, if the name is unknown.
    pub(super) fn find(&self, name: &str) -> RequestId {
        self.ids.get(name).copied().unwrap_or_default()
    }

    /// Returns the name of a request.
    pub(super) fn name(&self, id: RequestId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Removes a request that no later event or action refers to.
    pub(super) fn release(&mut self, id: RequestId) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
    }
}
