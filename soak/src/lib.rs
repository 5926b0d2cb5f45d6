//! Stand-ins of the platform (store, endpoints, operator, callers), the real gateways as processes
//! beside them, faults from outside, and checks of what callers and endpoints saw.

mod caller;
mod checks;
mod endpoint;
mod faults;
mod gateways;
mod journal;
mod platform_store;
mod program;
mod proxy;
mod store_state;
mod world;

pub use caller::{Answer, Caller, Turn, TurnKind};
pub use checks::{Broken, Checks};
pub use endpoint::{EndpointFault, EndpointKind, PlatformEndpoint};
pub use faults::Faults;
pub use gateways::{Gateway, free_port};
pub use journal::{Journal, Run};
pub use platform_store::{PlatformStore, StoreFault};
pub use program::{Asked, Kind, Report, play_programs};
pub use proxy::{LinkFault, Proxy};
pub use world::{World, WorldSettings};
