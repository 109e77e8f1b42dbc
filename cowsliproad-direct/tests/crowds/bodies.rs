//! Crowds of large bodies, whole and unfinished.

use crate::{
    callers::{Body, Crowd, head, send_then_read},
    vm::Scene,
};

/// More than a caller's kernel takes of a body that nobody reads.
const BEYOND_SEND_BUFFER: usize = 6 << 20;

/// Has a crowd send bodies and checks the process and ordinary callers while
/// the crowd's connections are open, and again once they are gone.
async fn check(
    name: &str,
    bodies: impl FnOnce(&Scene) -> Vec<Body>,
    allowed: &[u16],
) {
    let mut scene = Scene::start().await;
    let crowd = Crowd::start(scene.address(), bodies(&scene)).await;
    scene.until_at_rest(&crowd).await;
    scene.check(name).await;
    crowd.check_answers(allowed);
    drop(crowd);
    scene.check(name).await;
}

fn crowd_of(body: Body) -> impl FnOnce(&Scene) -> Vec<Body> {
    move |scene| vec![body; scene.vm.callers_beyond_memory()]
}

/// Guards against bodies that nothing sums: each is legal, all together are
/// more than the VM has.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let body = Body::with_length(max, max - 1);
    check("stopping short", crowd_of(body), &[408, 503]).await;
}

/// Guards against the same piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_of_their_end() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let body = Body::with_length(max, max - 1).in_pieces(4 << 10);
    check("in pieces", crowd_of(body), &[408, 503]).await;
}

/// Guards against whole bodies that wait for slow targets.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_once() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let body = Body::with_length(max, max).to("/slow/crowd");
    check("whole", crowd_of(body), &[200, 503]).await;
}

/// Guards against chunks that are kept with the buffers they arrived in.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let body = Body::in_chunks(64 << 10, max - 1);
    check("large chunks", crowd_of(body), &[408, 503]).await;
}

/// Guards against a cost of each chunk far above its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_that_stop_short() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let bodies = |_: &Scene| vec![Body::in_chunks(1, max - 1); 6];
    check("one-byte chunks", bodies, &[408, 503]).await;
}

/// Guards against the same in bodies that end, which are answered.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_in_chunks_of_one_byte() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let bodies = |_: &Scene| vec![Body::in_chunks(1, max).whole(); 4];
    check("whole in one-byte chunks", bodies, &[200]).await;
}

/// Guards against reading up to the limit what is known to be beyond it.
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_far_beyond_the_limit() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let body = Body::with_length(100 * max, 8 * max);
    check("announced beyond the limit", crowd_of(body), &[413]).await;
}

/// Guards against the same where no length is stated.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_far_beyond_the_limit() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let body = Body::in_chunks(64 << 10, 8 * max);
    check("chunks beyond the limit", crowd_of(body), &[413, 503]).await;
}

/// Guards against all of them together.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_all_kinds() {
    let max = crate::vm::Vm::new().max_body_bytes;
    let kinds = [
        Body::with_length(max, max - 1),
        Body::with_length(max, max - 1).in_pieces(4 << 10),
        Body::with_length(max, max).to("/slow/crowd"),
        Body::in_chunks(64 << 10, max - 1),
        Body::in_chunks(1, max / 8),
        Body::with_length(100 * max, 8 * max),
        Body::in_chunks(64 << 10, 8 * max),
        Body::with_length(max, 1_024),
    ];
    let bodies = |scene: &Scene| {
        let count = scene.vm.callers_beyond_memory() * 4 / 3;
        kinds.iter().copied().cycle().take(count).collect()
    };
    check("all kinds", bodies, &[200, 408, 413, 503]).await;
}

/// Guards against refusals that are lost in a reset, as their callers still
/// send.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_reaches_a_caller_that_still_sends() {
    let scene = Scene::start().await;
    let max = scene.vm.max_body_bytes;
    let sent = max + BEYOND_SEND_BUFFER;
    let mut bytes =
        head("/many/a", &format!("Content-Length: {sent}")).into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    let answer = send_then_read(scene.address(), &bytes).await;
    let answer = answer.expect("no reset");
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}
