//! Tests that run the node's binary over loopback sockets, with fake servers and a fake discovery service.

mod disconnects;
mod harness;
mod links;
mod list;
mod log;
mod requests;
mod resource_limits;
mod responses;
mod restart;
mod stopped_clients;
mod tenancy;
