use crate::prelude::*;
use crate::programs::ProgramLimits;

/// What a workspace may do.
#[wire]
pub struct Contract {
    /// Calls a second, over all entries together.
    pub rate_per_s: u32,
    /// Calls that may come at once.
    pub burst: u32,
    /// What each program may use.
    pub program: ProgramLimits,
    /// Models that it may call.
    pub models: Vec<ModelName>,
    /// Actions of services that it may call, as `service/action`.
    pub actions: Vec<Arc<str>>,
    /// Those of them that must run at most once.
    pub irreversible: Vec<Arc<str>>,
}

impl Contract {
    /// Whether the workspace may call a model.
    pub fn allows_model(&self, model: &ModelName) -> bool {
        self.models.contains(model)
    }

    /// Whether the workspace may call an action of a service.
    pub fn allows_action(&self, action: &str) -> bool {
        self.actions.iter().any(|allowed| &**allowed == action)
    }

    /// Whether an action must run at most once.
    pub fn is_irreversible(&self, action: &str) -> bool {
        self.irreversible.iter().any(|listed| &**listed == action)
    }
}
