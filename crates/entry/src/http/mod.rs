//! Callers' HTTP. Nothing beyond this module knows a URL or a header.

mod addresses;
mod auth;
mod chat;
mod frontend;
mod headers;
mod reply;
mod service;

pub(crate) use frontend::Frontend;
