//! What a hub passes on to its leaves of the operator's configuration and the endpoint list, so that
//! the reads of the store don't grow with the number of entries.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use super::ResponseBody;
use super::feed_message::{FeedRequest, FeedStatus, FeedUpdate, ListPosition};
use super::server::{read_message, status_response};
use super::state::Gateway;
use crate::http::CallerContext;
use crate::replicas::EndpointChange;

/// The largest request in bytes.
const MAX_REQUEST_BYTES: usize = 256;

/// How far this hub has read, in answer to a message that a leaf sent at `asked_at_ms` by its clock.
pub(super) fn feed_status(gateway: &Gateway, asked_at_ms: u64) -> FeedStatus {
    let catalog = gateway.active_config.catalog();
    let list_read = gateway.endpoint_list.version();
    FeedStatus {
        asked_at_ms,
        config_version: catalog.map_or(0, |catalog| catalog.version()),
        config_age_ms: gateway.active_config.age_ms(),
        endpoints: list_position(gateway),
        list_age_ms: list_read.map(|version| gateway.now().since(version.read_at)),
    }
}

fn list_position(gateway: &Gateway) -> ListPosition {
    let next = gateway.endpoint_changes.borrow().next();
    ListPosition { instance: gateway.process_instance, next }
}

/// Answers a leaf that asks for what it lacks.
pub(super) async fn answer_feed_request(
    gateway: &Rc<Gateway>,
    caller: &CallerContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let request: FeedRequest = match read_message(gateway, caller, request, MAX_REQUEST_BYTES).await
    {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    match postcard::to_allocvec(&feed_update(gateway, request)) {
        Ok(bytes) => Response::new(ResponseBody::buffered(bytes.into())),
        Err(fault) => {
            log::error!(fault:display; "encoding an update for a leaf failed; answered with 500");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

pub(super) fn feed_update(gateway: &Gateway, request: FeedRequest) -> FeedUpdate {
    let configuration = gateway.active_config.configuration();
    let newer = configuration.filter(|known| known.version > request.config_version);
    let position = list_position(gateway);
    let missed = match request.endpoints.instance == position.instance {
        true => gateway.endpoint_changes.borrow().since(request.endpoints.next),
        false => None,
    };
    let is_snapshot = missed.is_none();
    FeedUpdate {
        configuration: newer.map(|newer| (*newer).clone()),
        changes: missed.unwrap_or_else(|| all_endpoints(gateway)),
        is_snapshot,
        endpoints: position,
    }
}

fn all_endpoints(gateway: &Gateway) -> Vec<EndpointChange> {
    let directory = gateway.directory.borrow();
    let announced = directory.all().map(|(_, replica)| {
        EndpointChange::Announcement(replica.id.clone(), replica.announcement.clone())
    });
    announced.collect()
}
