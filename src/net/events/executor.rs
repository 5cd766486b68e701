//! Events of the link to the executor.

use crate::log::{LogEvent, FOLDED};
use std::io;
use tracing::{info, warn};

/// An event of the link to the executor.
#[derive(Debug)]
pub enum ExecutorEvent<'a> {
    /// The executor is up, and requests can run.
    Ready {
        /// Whether the executor started with empty caches and less than the settings' `warm_up_s` seconds ago.
        cold: bool,
        /// Time since the executor was started (seconds).
        started_ago_s: f64,
    },
    /// The link was lost and is being re-established.
    LinkLost(LinkLossCause<'a>),
    /// No link could be established; the attempt will be repeated.
    ConnectFailed(&'a io::Error),
    /// The executor was replaced by a new process; the runs of the old one are lost.
    Restarted,
    /// A notice from the executor can't be parsed.
    NoticeMalformed(MalformedNotice),
    /// A notice is of a kind that this version does not know.
    NoticeUnknown,
    /// The executor does not know a request that it was told to run.
    RequestUnknown,
    /// The executor rejected a command.
    CommandRejected,
    /// The queue of commands to the executor is full.
    QueueFull {
        /// The command that was dropped.
        dropped: DroppedCommand,
    },
}

/// Why the link to the executor was lost.
#[derive(Debug)]
pub enum LinkLossCause<'a> {
    /// The executor's address has changed, and a link to the new address replaces this one.
    Replaced,
    /// A line exceeds the maximum length of a notice.
    LineTooLong,
    /// The executor closed the link.
    Closed,
    /// The connection was reset.
    Reset,
    /// Writing to the link failed.
    WriteFailed(&'a io::Error),
}

/// The kind of a notice that can't be parsed.
#[derive(Clone, Copy, Debug)]
pub enum MalformedNotice {
    /// A line that is not a notice.
    Line,
    /// The notice that a run has ended.
    Exit,
    /// The notice of a run's downstream call.
    Callout,
}

/// The kind of a command that was dropped.
#[derive(Clone, Copy, Debug)]
pub enum DroppedCommand {
    /// The reply to a downstream call.
    Reply,
    /// The command to continue a run without its downstream call.
    Skip,
}

impl LogEvent for ExecutorEvent<'_> {
    fn emit(&self) {
        match self {
            ExecutorEvent::Ready { cold, started_ago_s } => {
                let started_ago_s = format_args!("{started_ago_s:.3}");
                info!(name: "executor_ready", cold, started_ago_s = %started_ago_s);
            }
            ExecutorEvent::LinkLost(cause) => emit_link_lost(cause),
            ExecutorEvent::ConnectFailed(error) => warn!(name: "executor_connect_failed", cause = %error),
            ExecutorEvent::Restarted => warn!(name: "executor_restarted", runs = "lost"),
            ExecutorEvent::NoticeMalformed(notice) => emit_malformed(*notice),
            ExecutorEvent::NoticeUnknown => {
                warn!(name: "executor_notice_unknown", target: FOLDED, kind = "unknown");
            }
            ExecutorEvent::RequestUnknown => {
                warn!(name: "executor_request_unknown", target: FOLDED, command = "EXEC");
            }
            ExecutorEvent::CommandRejected => {
                warn!(name: "executor_command_rejected", target: FOLDED, notice = "BAD");
            }
            ExecutorEvent::QueueFull { dropped } => {
                let dropped = match dropped {
                    DroppedCommand::Reply => "reply",
                    DroppedCommand::Skip => "skip",
                };
                warn!(name: "executor_queue_full", dropped);
            }
        }
    }
}

fn emit_link_lost(cause: &LinkLossCause<'_>) {
    match cause {
        LinkLossCause::Replaced => info!(name: "executor_link_lost", cause = "replaced"),
        LinkLossCause::LineTooLong => warn!(name: "executor_link_lost", cause = "line_too_long"),
        LinkLossCause::Closed => warn!(name: "executor_link_lost", cause = "closed"),
        LinkLossCause::Reset => warn!(name: "executor_link_lost", cause = "reset"),
        LinkLossCause::WriteFailed(error) => {
            warn!(name: "executor_link_lost", cause = "write_failed", error = %error);
        }
    }
}

/// Each kind has its own call site, so that repeats of one kind are folded separately from those of the others.
fn emit_malformed(notice: MalformedNotice) {
    match notice {
        MalformedNotice::Line => {
            warn!(name: "executor_notice_malformed", target: FOLDED, notice = "line");
        }
        MalformedNotice::Exit => {
            warn!(name: "executor_notice_malformed", target: FOLDED, notice = "EXIT");
        }
        MalformedNotice::Callout => {
            warn!(name: "executor_notice_malformed", target: FOLDED, notice = "CALLOUT");
        }
    }
}
