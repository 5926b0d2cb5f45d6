use crate::contracts::ConfigRecord;
use crate::entry::core::Command;
use crate::entry::state::Entry;
use crate::prelude::*;
use crate::programs::{CrashStatus, OwnerEnvironment, PlaceRefusal, PlaceRequest};
use crate::routing::EndpointView;

/// An entry as the owners of its shards see it.
pub(super) struct EntrySurroundings<'a>(pub &'a Entry);

impl OwnerEnvironment for EntrySurroundings<'_> {
    fn place(&mut self, request: &PlaceRequest<'_>) -> Result<EndpointRef, PlaceRefusal> {
        let domain = self.0.settings.process.failure_domain.clone();
        let peers = self.0.peers();
        let live = peers.live_endpoints(request.target);
        let mut views: Vec<EndpointView> =
            live.filter_map(|peer| EndpointView::from_peer(peer, &domain)).collect();
        if request.is_suspect {
            self.leave_out_crashed(request, &mut views);
        }
        self.0.router().place(self.0.clock.now(), request, &views)
    }

    fn crash_status(&self, workspace: &WorkspaceId, digest: &Digest) -> CrashStatus {
        self.0.crash_status(workspace, digest)
    }

    fn record_crash(&mut self, workspace: &WorkspaceId, digest: &Digest, crash: Crash) {
        self.0.note_crash(workspace, digest, crash.clone());
        self.0.owe_crash_record();
        let record = ConfigRecord::Suspect { workspace: workspace.clone(), digest: *digest, crash };
        let _ = self.0.commands.send(Command::Publish(record));
    }

    fn clear_suspect(&mut self, workspace: &WorkspaceId, digest: &Digest) {
        self.0.forget_crashes(workspace, digest);
        let record = ConfigRecord::Cleared { workspace: workspace.clone(), digest: *digest };
        let _ = self.0.commands.send(Command::Publish(record));
    }

    fn record_success(&mut self, workspace: &WorkspaceId) {
        self.0.retries().record_success(workspace);
    }

    fn try_acquire_retry(&mut self, workspace: &WorkspaceId) -> bool {
        self.0.retries().try_acquire(workspace)
    }

    fn reserve_append(&mut self) -> u64 {
        self.0.reserve_append()
    }

    fn random(&mut self) -> u64 {
        rand::random()
    }
}

impl EntrySurroundings<'_> {
    /// Leaves out the endpoints that crashed under a suspected call. All entries know of the same
    /// crashes, and so pick the same endpoint for it, whichever they tried themselves; and a VM
    /// that crashes by itself does not convict it.
    fn leave_out_crashed(&self, request: &PlaceRequest<'_>, views: &mut Vec<EndpointView>) {
        let crashed = self.0.crashed_vms(&request.program.workspace, request.digest);
        if views.iter().any(|view| !crashed.contains(&view.endpoint.vm)) {
            views.retain(|view| !crashed.contains(&view.endpoint.vm));
        }
    }
}
