//! Stand-ins for the systems that trefoilproxy depends on: the platform's log service, its VM list,
//! a model engine and a tool service. All but the VM list take faults over `/control`.
//! [`caller`] is a client of the proxy, and [`fleet`] starts the proxy's own processes.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod log_service;
pub mod process_usage;
pub mod tool_service;
pub mod vm_list;
