use std::rc::Rc;

use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;

use super::attempt::{Answer, EndpointRequest};
use super::dispatch::Dispatch;
use super::state::Gateway;
use super::{Refusal, ResponseBody};

/// The most bytes of an answer that is held until it is whole.
const WHOLE_ANSWER_MOST_BYTES: usize = 4 << 20;

/// Serves a request whose answer is passed on once it is whole.
pub(super) async fn serve_plain(
    gateway: &Rc<Gateway>,
    job: &Rc<EndpointRequest>,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut dispatch = Dispatch::open(gateway, job);
    loop {
        let Answer { head, body, lease } = dispatch.answer().await?;
        let endpoint = lease.endpoint;
        lease.listen();
        match Limited::new(body, WHOLE_ANSWER_MOST_BYTES).collect().await {
            Ok(whole) => {
                lease.finish(head.status);
                gateway.clear_suspect(job.crash_key);
                // What the endpoint has failed by a fault of its own, another may serve.
                let failed = head.status == StatusCode::INTERNAL_SERVER_ERROR;
                if !failed || !dispatch.may_go_on() {
                    return Ok(pass_whole(head, whole.to_bytes()));
                }
                log::info!(request:% = job.request; "failed at an endpoint; tried at another");
            }
            Err(_) => {
                lease.broken();
                dispatch.broke_off(endpoint).await;
                if !job.order.repeat.may_run_again() {
                    return Err(Refusal::OutcomeUnknown);
                }
            }
        }
    }
}

/// An endpoint's answer with its body, framed anew.
pub(super) fn pass_whole(head: response::Parts, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(head.headers);
    response
}

/// Headers without those that concern one connection only.
pub(super) fn end_to_end(mut headers: http::HeaderMap) -> http::HeaderMap {
    for name in ["connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade"]
    {
        headers.remove(name);
    }
    headers
}
