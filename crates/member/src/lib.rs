//! Announcements, liveness, draining and the address list.
