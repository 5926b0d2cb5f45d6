use crate::prelude::*;
use crate::programs::ProgramLimits;

/// The rights and limits of a workspace.
#[wire]
pub struct Contract {
    /// Maximum rate of calls per second, over all entries together.
    pub rate_per_s: u32,
    /// Maximum number of calls that may arrive at once.
    pub burst: u32,
    /// Limits of each program.
    pub program: ProgramLimits,
    /// Models that the workspace may call.
    pub models: Vec<ModelName>,
    /// Actions of services that the workspace may call, as `service/action`.
    pub actions: Vec<Arc<str>>,
    /// The subset of `actions` that must run at most once.
    pub irreversible: Vec<Arc<str>>,
}

impl Contract {
    /// Whether the workspace may call a model.
    pub fn allows_model(&self, model: &ModelName) -> bool {
        self.models.contains(model)
    }

    /// Whether the workspace may call an action, given as `service/action`.
    pub fn allows_action(&self, action: &str) -> bool {
        self.actions.iter().any(|allowed| &**allowed == action)
    }

    /// Whether an action, given as `service/action`, must run at most once.
    pub fn is_irreversible(&self, action: &str) -> bool {
        self.irreversible.iter().any(|listed| &**listed == action)
    }
}
