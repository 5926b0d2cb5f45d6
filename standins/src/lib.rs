//! Small stand-ins for the systems that trefoilproxy meets: the platform's log, its list of VMs,
//! a model engine and a tool service. Each has a `/control` call that switches faults on and off.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod log_service;
pub mod tool_service;
pub mod vm_list;
