//! Runs an instance as a process: handles signals and reloads the settings.

use std::io;
use std::time::Duration;

use jaycrank_event::Event;
use jaycrank_event::event;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::gateway::Options;
use crate::lifecycle::Instance;

/// Interval at which the settings are reloaded, because they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Function that reads the settings again.
pub type Reload = Box<dyn Fn() -> Result<Options, String> + Send>;

/// Serves until SIGTERM or SIGINT; reloads the settings on SIGHUP and at an interval.
///
/// # Errors
///
/// Fails if a signal handler can't be installed.
pub async fn run(mut instance: Instance, reload: Reload) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut tick = interval(RELOAD_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload_settings(&mut instance, &reload, "signal"),
            _ = tick.tick() => reload_settings(&mut instance, &reload, "interval"),
        }
    }
    instance.shutdown().await;
    Ok(())
}

fn reload_settings(instance: &mut Instance, reload: &Reload, cause: &str) {
    match reload() {
        Ok(options) => {
            if instance.configure(&options) || cause == "signal" {
                event!(Event::Reloaded, cause = cause);
            }
        }
        Err(error) => event!(Event::ReloadFailed, cause = cause, error = error),
    }
}
