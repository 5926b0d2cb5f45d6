use crate::contracts::ConfigRecord;
use crate::entry::core::Command;
use crate::entry::state::Entry;
use crate::prelude::*;
use crate::programs::{CrashStatus, OwnerEnvironment, PlaceRefusal, PlaceRequest};
use crate::routing::EndpointView;

/// What an entry provides to the owners of its shards.
pub(super) struct EntryEnvironment<'a>(pub &'a Entry);

impl OwnerEnvironment for EntryEnvironment<'_> {
    fn place(&mut self, request: &PlaceRequest<'_>) -> Result<EndpointRef, PlaceRefusal> {
        let domain = self.0.settings.process.failure_domain.clone();
        let peers = self.0.peers();
        let live = peers.live_endpoints(request.target);
        let mut views: Vec<EndpointView> =
            live.filter_map(|peer| EndpointView::from_peer(peer, &domain)).collect();
        if request.is_suspect {
            self.exclude_crashed_endpoints(request, &mut views);
        }
        self.0.router().place(self.0.clock.now(), request, &views)
    }

    fn crash_status(&self, workspace: &WorkspaceId, digest: &Digest) -> CrashStatus {
        self.0.crash_status(workspace, digest)
    }

    fn record_crash(&mut self, workspace: &WorkspaceId, digest: &Digest, crash: Crash) {
        self.0.add_local_crash(workspace, digest, crash.clone());
        self.0.add_pending_crash_record();
        let record = ConfigRecord::Suspect { workspace: workspace.clone(), digest: *digest, crash };
        let _ = self.0.commands.send(Command::Publish(record));
    }

    fn clear_suspect(&mut self, workspace: &WorkspaceId, digest: &Digest) {
        self.0.remove_local_crashes(workspace, digest);
        let record = ConfigRecord::Cleared { workspace: workspace.clone(), digest: *digest };
        let _ = self.0.commands.send(Command::Publish(record));
    }

    fn record_success(&mut self, workspace: &WorkspaceId) {
        self.0.retry_budget().record_success(workspace);
    }

    fn try_acquire_retry(&mut self, workspace: &WorkspaceId) -> bool {
        self.0.retry_budget().try_acquire(workspace)
    }

    fn reserve_append(&mut self) -> u64 {
        self.0.reserve_append()
    }

    fn random(&mut self) -> u64 {
        rand::random()
    }
}

impl EntryEnvironment<'_> {
    /// Excludes the endpoints that crashed while they ran a suspected call, unless none would
    /// remain. All entries know the same crashes and so choose the same endpoint for the call,
    /// whichever endpoints they tried themselves. Choosing another VM also keeps a call from
    /// being blamed for a VM that crashes for reasons of its own.
    fn exclude_crashed_endpoints(&self, request: &PlaceRequest<'_>, views: &mut Vec<EndpointView>) {
        let crashed = self.0.crashed_vms(&request.program.workspace, request.digest);
        if views.iter().any(|view| !crashed.contains(&view.endpoint.vm)) {
            views.retain(|view| !crashed.contains(&view.endpoint.vm));
        }
    }
}
