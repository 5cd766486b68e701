//! Names, levels and fields of the events that decision code reports. The shell's own events stand beside it, in
//! `net/events` and in the coordinator's `events`.

mod admission;
mod dispatch;
mod membership;
mod overload;
