//! The entries of the table of idempotency keys. The entries of all tenants for one key text are found together, because
//! an attempt may have to be compared with all of them.

use super::entry::Entry;
use super::key::IdempotencyKey;
use super::matching::KeyedEntry;
use std::collections::HashMap;
use std::rc::Rc;

/// The entry of a key, with the rest of the key beside its text.
struct ScopedEntry {
    class: usize,
    tenant: Option<usize>,
    entry: Entry,
}

impl ScopedEntry {
    fn has_key(&self, key: &IdempotencyKey) -> bool {
        (self.class, self.tenant) == (key.class, key.tenant)
    }

    fn key(&self, text: &Rc<str>) -> IdempotencyKey {
        IdempotencyKey { class: self.class, tenant: self.tenant, key: text.clone() }
    }
}

/// All entries. A key has at most one.
#[derive(Default)]
pub(super) struct Entries {
    /// The entries by the key's text; no list is empty.
    by_text: HashMap<Rc<str>, Vec<ScopedEntry>>,
    count: usize,
}

impl Entries {
    pub(super) fn len(&self) -> usize {
        self.count
    }

    pub(super) fn contains(&self, key: &IdempotencyKey) -> bool {
        self.get(key).is_some()
    }

    pub(super) fn get(&self, key: &IdempotencyKey) -> Option<&Entry> {
        let scoped = self.by_text.get(&key.key)?.iter().find(|scoped| scoped.has_key(key))?;
        Some(&scoped.entry)
    }

    pub(super) fn get_mut(&mut self, key: &IdempotencyKey) -> Option<&mut Entry> {
        let scoped = self.by_text.get_mut(&key.key)?.iter_mut().find(|scoped| scoped.has_key(key))?;
        Some(&mut scoped.entry)
    }

    /// Adds the entry of a key that has none.
    pub(super) fn insert(&mut self, key: &IdempotencyKey, entry: Entry) {
        let scoped = ScopedEntry { class: key.class, tenant: key.tenant, entry };
        self.count += 1;
        match self.by_text.get_mut(&key.key) {
            Some(entries) => entries.push(scoped),
            // Nearly every key has one entry, so the list gets no spare capacity.
            None => drop(self.by_text.insert(key.key.clone(), vec![scoped])),
        }
    }

    pub(super) fn remove(&mut self, key: &IdempotencyKey) -> Option<Entry> {
        let entries = self.by_text.get_mut(&key.key)?;
        let index = entries.iter().position(|scoped| scoped.has_key(key))?;
        let removed = entries.swap_remove(index);
        if entries.is_empty() {
            self.by_text.remove(&key.key);
        }
        self.count -= 1;
        Some(removed.entry)
    }

    /// Iterates over the entries of all tenants for the class and text of a key, oldest first unless one was removed.
    pub(super) fn of_all_tenants<'a>(
        &'a self,
        key: &'a IdempotencyKey,
    ) -> impl Iterator<Item = KeyedEntry<'a>> {
        let scoped = self.by_text.get(&key.key).into_iter().flatten();
        let of_class = scoped.filter(|scoped| scoped.class == key.class);
        of_class.map(|scoped| KeyedEntry { key: scoped.key(&key.key), entry: &scoped.entry })
    }

    /// Iterates over the keys in arbitrary order.
    pub(super) fn keys(&self) -> impl Iterator<Item = IdempotencyKey> + '_ {
        self.keys_where(|_| true)
    }

    /// Iterates in arbitrary order over the keys whose entries satisfy the condition.
    pub(super) fn keys_where<'a>(
        &'a self,
        condition: impl Fn(&Entry) -> bool + 'a,
    ) -> impl Iterator<Item = IdempotencyKey> + 'a {
        let all = self.by_text.iter().flat_map(|(text, entries)| entries.iter().map(move |e| (text, e)));
        all.filter(move |(_, scoped)| condition(&scoped.entry)).map(|(text, scoped)| scoped.key(text))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.by_text.values().flatten().map(|scoped| &scoped.entry)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.by_text.values_mut().flatten().map(|scoped| &mut scoped.entry)
    }

    /// Releases capacity beyond this multiple of the number of key texts.
    pub(super) fn shrink(&mut self, factor: usize) {
        self.by_text.shrink_to(factor * self.by_text.len());
    }
}
