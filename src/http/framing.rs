use hyper::HeaderMap;
use hyper::header::TRANSFER_ENCODING;

/// Whether the body that was read from a response is what its sender has sent as the body.
///
/// Chunks are the only transfer coding that is decoded, and the only one that may be used for a request
/// that names none in `TE`. A body in another coding is read as it is coded, and, unless it is in
/// chunks, until the connection ends: a length in its head is ignored, and a body that was cut would
/// pass for complete.
pub fn is_body_decoded(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    }
}
