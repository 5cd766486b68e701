//! Events of the link to the executor.

use crate::log::{LogEvent, FOLDED};
use std::io;
use tracing::{info, warn};

/// What the link to the executor reports.
#[derive(Debug)]
pub enum ExecutorEvent<'a> {
    /// The executor is up: requests can run.
    Ready {
        /// It has just started, and is slow at first.
        cold: bool,
        /// How long ago it was started (seconds).
        started_ago_s: f64,
    },
    /// The link is lost; it is connected anew.
    LinkLost(LinkLossCause<'a>),
    /// No link could be established; another attempt follows.
    ConnectFailed(&'a io::Error),
    /// The executor is another process than before: the runs that it had are lost.
    Restarted,
    /// A notice can't be read.
    NoticeMalformed(MalformedNotice),
    /// A notice is of a kind that this version does not know.
    NoticeUnknown,
    /// The executor does not know a request that it was to run.
    RequestUnknown,
    /// The executor did not carry out a command.
    CommandRejected,
    /// The queue of commands is at capacity.
    QueueFull {
        /// What was not sent.
        dropped: DroppedCommand,
    },
}

/// Why the link to the executor was lost.
#[derive(Debug)]
pub enum LinkLossCause<'a> {
    /// A link to another address takes its place.
    Replaced,
    /// A line is longer than a notice may be.
    LineTooLong,
    /// The executor has closed it.
    Closed,
    /// It was reset.
    Reset,
    /// Writing failed.
    WriteFailed(&'a io::Error),
}

/// A notice that can't be read.
#[derive(Clone, Copy, Debug)]
pub enum MalformedNotice {
    /// A line that is no notice.
    Line,
    /// The end of a run.
    Exit,
    /// A downstream call of a run.
    Callout,
}

/// A command that was dropped.
#[derive(Clone, Copy, Debug)]
pub enum DroppedCommand {
    /// The reply to a downstream call.
    Reply,
    /// A run was to go on without its call.
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

/// Each kind has a place of its own, so that its repeats are folded apart from the others.
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
