//! Names, levels and fields of the events that decision code reports. Events of the I/O code are defined in
//! `net/events` and in the coordinator's `events`.

mod admission;
mod dispatch;
mod membership;
mod overload;
