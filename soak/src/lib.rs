//! Fault soak: runs real gateway processes against stand-ins for the platform (store, endpoints,
//! operator, callers), injects faults, and checks what callers and endpoints observed.

mod caller;
mod checks;
mod connection;
mod crowd;
mod endpoint;
mod faults;
mod flood;
mod gateways;
mod journal;
mod load;
mod load_checks;
mod platform_store;
mod program;
mod proxy;
mod slots;
mod stop_callers;
mod stop_checks;
mod stops;
mod store_state;
mod world;

pub use caller::{Answer, Caller, Reading, Turn, TurnKind};
pub use checks::{Checks, Violation};
pub use connection::Ending;
pub use crowd::{Crowd, CrowdRequest};
pub use endpoint::{EndpointFault, EndpointKind, PlatformEndpoint};
pub use faults::Faults;
pub use flood::{Flood, run_flood};
pub use gateways::{Gateway, free_port};
pub use journal::{Journal, Run};
pub use load::{LoadClass, LoadPhases, LoadProgram, run_load};
pub use load_checks::LoadChecks;
pub use platform_store::{PlatformStore, StoreFault};
pub use program::{Report, RequestKind, SentRequest, run_programs};
pub use proxy::{LinkFault, Proxy};
pub use stop_callers::StopRequest;
pub use stop_checks::StopChecks;
pub use stops::{Stop, StopReport, run_stops};
pub use world::{World, WorldLimits, WorldSettings};
