//! HTTP interface for callers. URLs and headers are handled in this module only.

mod addresses;
mod auth;
mod chat;
mod frontend;
mod headers;
mod reply;
mod service;

pub(crate) use frontend::Frontend;
