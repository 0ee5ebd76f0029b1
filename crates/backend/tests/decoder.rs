//! Fuzz test of the reply header decoder. The seed is set in `.cargo/config.toml`.

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jaycrank_backend::wire;
use jaycrank_backend::wire::Reply;

const ITERATIONS: usize = 20_000;

/// Guards against a panic on arbitrary reply headers, and against values that no header contains.
#[test]
fn arbitrary_reply_headers_are_decoded() {
    let names = [
        wire::ID_HEADER,
        wire::SNAPSHOT_HEADER,
        wire::LOAD_HEADER,
        wire::VERSIONS_HEADER,
        wire::STATE_HEADER,
        wire::RUNNING_HEADER,
    ];
    bolero::check!()
        .with_type::<(u16, Vec<(u8, Vec<u8>)>, u64)>()
        .with_iterations(ITERATIONS)
        .for_each(|(status, fields, id)| {
            let mut headers = HeaderMap::new();
            for (name, value) in fields {
                let name = HeaderName::from_static(names[usize::from(*name) % names.len()]);
                if let Ok(value) = HeaderValue::from_bytes(value) {
                    headers.append(name, value);
                }
            }
            let reply = Reply::decode(*status, &headers);
            assert_eq!(reply.status, *status);
            assert!(reply.load.is_none_or(|load| load.is_finite() && load >= 0.0));
            assert!(reply.id.is_none() || headers.contains_key(wire::ID_HEADER));
            headers.insert(wire::ID_HEADER, HeaderValue::from(*id));
            headers.insert(wire::VERSIONS_HEADER, HeaderValue::from_static("7, x, 9"));
            headers.insert(wire::STATE_HEADER, HeaderValue::from_static("draining"));
            let reply = Reply::decode(*status, &headers);
            assert_eq!(reply.id, Some(*id));
            assert_eq!(reply.versions, Some(vec![7, 9]));
            assert_eq!(reply.state, wire::State::Draining);
        });
}
