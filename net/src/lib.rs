//! HTTP of lavendergauge: a server loop and a client over hyper.

pub mod body;
pub mod client;
pub mod connector;
pub mod header;
pub mod parts;
pub mod server;
pub mod tls;
