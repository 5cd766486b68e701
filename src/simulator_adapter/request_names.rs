//! The names of requests on the wire, and the controller's numbers for them.

use crate::interface::RequestId;
use std::collections::HashMap;

/// The names of one instance's requests.
#[derive(Default)]
pub(super) struct RequestNames {
    ids: HashMap<String, RequestId>,
    names: HashMap<RequestId, String>,
    last_id: RequestId,
}

impl RequestNames {
    /// The number of a name. A name without one gets the next number.
    pub(super) fn insert(&mut self, name: String) -> RequestId {
        if let Some(&id) = self.ids.get(&name) {
            return id;
        }
        self.last_id.0 += 1;
        self.names.insert(self.last_id, name.clone());
        self.ids.insert(name, self.last_id);
        self.last_id
    }

    /// The number of a name. An unknown name gets number 0, which no request has.
    pub(super) fn find(&self, name: &str) -> RequestId {
        self.ids.get(name).copied().unwrap_or_default()
    }

    /// The name of a number.
    pub(super) fn name(&self, id: RequestId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Removes a request that no later event or action names.
    pub(super) fn release(&mut self, id: RequestId) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
    }
}
