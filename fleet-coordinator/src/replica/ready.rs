//! Output of the Raft library: records to persist, messages to send, and committed entries to apply.

use super::recovered_log::{entry_record, hard_state_record, snapshot_record};
use super::scan;
use super::{DiskJob, Replica, ReplicaEvent, ReplicaOutput, SuspensionCause};
use crate::ids::{DiskJobId, MemberId};
use crate::state_machine::LogEntry;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Message, Snapshot};
use raft::Ready;

/// The number of entries after which the log is compacted into a snapshot.
const MAX_LOG_ENTRIES: usize = 4096;

/// Messages that are sent once a disk job and all earlier ones have finished.
pub(super) struct PendingReady {
    /// The number of the library's `Ready`.
    ready_number: u64,
    messages: Vec<Message>,
    /// `None` if nothing has to be written.
    job: Option<DiskJobId>,
    /// The index of a leader's snapshot that is being written.
    snapshot_index: Option<u64>,
}

impl PendingReady {
    /// Returns whether the messages wait for a later job than `persisted`, the last one that has finished; `None` stands for
    /// no job.
    fn waits_for_job_after(&self, persisted: Option<DiskJobId>) -> bool {
        self.job > persisted
    }
}

/// A leader's snapshot can't be decoded.
struct UnreadableSnapshot(serde_json::Error);

impl Replica {
    /// Processes the library's output until there is no more.
    pub(super) fn process_ready(&mut self, now: f64) {
        while let Some(ready) = self.next_ready() {
            if let Err(UnreadableSnapshot(error)) = self.process_one_ready(now, ready) {
                return self.suspend(now, SuspensionCause::UnreadableLeaderSnapshot(error.to_string()));
            }
        }
        self.compact(now);
    }

    fn next_ready(&mut self) -> Option<Ready> {
        self.node.as_mut().filter(|node| node.has_ready()).map(raft::RawNode::ready)
    }

    fn process_one_ready(&mut self, now: f64, mut ready: Ready) -> Result<(), UnreadableSnapshot> {
        send(&mut self.outputs, ready.take_messages());
        let mut records = Vec::new();
        let mut snapshot_index = None;
        if !ready.snapshot().is_empty() {
            snapshot_index = Some(self.restore_snapshot(ready.snapshot())?);
            records.push(snapshot_record(ready.snapshot()));
        }
        self.append_entries(&mut ready, &mut records);
        let ready_number = ready.number();
        let messages = ready.take_persisted_messages();
        let committed = ready.take_committed_entries();
        let read_states = ready.take_read_states();
        if let Some(node) = &mut self.node {
            node.advance_append_async(ready);
        }
        let job = (!records.is_empty()).then(|| self.start_job(now, DiskJob::Append(records)));
        self.pending_ready.push_back(PendingReady { ready_number, messages, job, snapshot_index });
        if self.pending_ready.len() == 1 && job.is_none() {
            self.on_persisted(None);
        }
        self.apply_committed(now, &committed);
        self.update_role(now);
        for read_state in read_states {
            if let Ok(number) = read_state.request_ctx.as_slice().try_into() {
                self.events.push(ReplicaEvent::Confirmed(u64::from_le_bytes(number)));
            }
        }
        Ok(())
    }

    /// Replaces the log and the state with those of a leader's snapshot; returns the snapshot's index.
    fn restore_snapshot(&mut self, snapshot: &Snapshot) -> Result<u64, UnreadableSnapshot> {
        self.state_machine = serde_json::from_slice(&snapshot.data).map_err(UnreadableSnapshot)?;
        if let Some(node) = &mut self.node {
            node.mut_store().restore(snapshot);
        }
        self.applied = snapshot.get_metadata().index;
        Ok(self.applied)
    }

    /// Appends new entries to the log, updates the hard state, and adds the records to persist to `records`.
    fn append_entries(&mut self, ready: &mut Ready, records: &mut Vec<Vec<u8>>) {
        let Some(node) = &mut self.node else { return };
        let entries = ready.take_entries();
        records.extend(entries.iter().map(entry_record));
        node.mut_store().append(&entries);
        if let Some(hard_state) = ready.hs() {
            node.mut_store().hard_state = hard_state.clone();
            // A hard state in which only the commit index changed need not be persisted.
            if ready.must_sync() {
                records.push(hard_state_record(hard_state));
            }
        }
    }

    /// Sends the messages that waited for this job or an earlier one, and those queued behind them that wait for no job.
    pub(super) fn on_persisted(&mut self, job: Option<DiskJobId>) {
        let Some(node) = &mut self.node else { return };
        let mut persisted_number = None;
        let mut snapshot_index = None;
        while self.pending_ready.front().is_some_and(|pending| !pending.waits_for_job_after(job)) {
            let Some(pending) = self.pending_ready.pop_front() else { break };
            persisted_number = Some(pending.ready_number);
            snapshot_index = snapshot_index.max(pending.snapshot_index);
            send(&mut self.outputs, pending.messages);
        }
        if let Some(number) = persisted_number {
            node.on_persist_ready(number);
            if let Some(index) = snapshot_index {
                node.advance_apply_to(index);
            }
        }
    }

    fn apply_committed(&mut self, now: f64, committed: &[Entry]) {
        for entry in committed {
            self.apply(now, entry);
        }
        if let Some(node) = self.node.as_mut().filter(|_| !committed.is_empty()) {
            node.advance_apply_to(self.applied);
        }
    }

    fn apply(&mut self, now: f64, entry: &Entry) {
        self.applied = entry.index;
        if entry.get_entry_type() != EntryType::EntryNormal {
            return self.apply_member_change(now, entry);
        }
        // The first entry of a leader's term is empty.
        if entry.data.is_empty() {
            return;
        }
        match serde_json::from_slice::<LogEntry>(&entry.data) {
            Ok(entry) => {
                let result = self.state_machine.apply(&entry);
                self.events.push(ReplicaEvent::Applied(entry, result));
            }
            Err(error) => {
                let cause =
                    SuspensionCause::UnreadableEntry { index: self.applied, error: error.to_string() };
                self.suspend(now, cause);
            }
        }
    }

    fn apply_member_change(&mut self, now: f64, entry: &Entry) {
        let change = match scan::parse::<ConfChange>(&entry.data) {
            Ok(change) if entry.get_entry_type() == EntryType::EntryConfChange => change,
            _ => return self.suspend(now, SuspensionCause::UnknownMemberChange { index: entry.index }),
        };
        let Some(node) = &mut self.node else { return };
        match node.apply_conf_change(&change) {
            Ok(members) => {
                node.mut_store().members = members;
                // A new member accepts only a snapshot whose configuration includes it.
                let is_new = change.get_change_type() == ConfChangeType::AddLearnerNode;
                node.mut_store().snapshot_wanted.set(is_new);
            }
            Err(error) => {
                let index = entry.index;
                let cause = SuspensionCause::RejectedMemberChange { index, error: error.to_string() };
                return self.suspend(now, cause);
            }
        }
        if change.get_change_type() == ConfChangeType::RemoveNode {
            if let Ok(replacement) = change.context.as_ref().try_into() {
                self.state_machine
                    .replace_member(MemberId(change.node_id), MemberId(u64::from_le_bytes(replacement)));
            }
        }
    }

    /// Compacts the log into a snapshot if it is long, or if a follower needs a newer snapshot.
    fn compact(&mut self, now: f64) {
        let Some(node) = &mut self.node else { return };
        let log = node.mut_store();
        let is_long = log.entries_since_snapshot() >= MAX_LOG_ENTRIES;
        if self.applied > log.snapshot_index() && (is_long || log.snapshot_wanted.get()) {
            log.compact(self.applied, to_json(&self.state_machine));
            let snapshot = log.to_recovered(self.member).encode();
            self.start_job(now, DiskJob::Replace(snapshot));
        }
    }
}

pub(super) fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Serialization can't fail: all map keys are numbers or strings.
    serde_json::to_vec(value).unwrap_or_default()
}

fn send(outputs: &mut Vec<ReplicaOutput>, messages: Vec<Message>) {
    for message in messages {
        if let Ok(bytes) = message.write_to_bytes() {
            outputs.push(ReplicaOutput::Send(MemberId(message.to), bytes));
        }
    }
}
