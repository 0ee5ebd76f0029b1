//! Tests of the protocol under injected failures, with tokio's paused clock and fixed seeds.

mod acceptor;
mod decode;
mod failures;
mod fencing;
mod fleet;
mod promela;
mod random;
