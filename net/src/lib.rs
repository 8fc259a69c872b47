//! HTTP and TLS for lavendergauge's processes: a server loop and a pooled client over hyper.

mod abort;
pub mod body;
pub mod budget;
pub mod client;
pub mod connector;
pub mod header;
mod intake;
mod occupancy;
mod pace;
pub mod parts;
pub mod server;
pub mod tls;
