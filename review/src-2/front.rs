//! Processes of the system, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::record::lock;

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/jaycrank-front";
/// Ports for clients, for the readiness probe and for other machines.
const PORTS: [u16; 3] = [8_101, 8_102, 8_103];
/// Longest time until a process is ready.
const READY_TIME_MAX: Duration = Duration::from_secs(15);

/// Bounds of `lws-jaycrank`.
pub const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
/// See [`STABILITY_WINDOW`].
pub const DRAIN: Duration = Duration::from_millis(3_000);

/// Processes that run, and their folder.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes and removes their folder.
pub fn end_all() {
    for child in lock(&RUNNING).iter_mut() {
        // It may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = lock(&FOLDER).take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// One machine of the system: its addresses and its settings file.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    store: SocketAddr,
    process: Option<u32>,
}

/// Number of machines that were planned.
static PLANNED: AtomicU32 = AtomicU32::new(0);

/// Returns the loopback address of the next machine. Connections that other processes open don't
/// use it, so that its ports stay free.
fn next_ip() -> IpAddr {
    let (run, machine) = (std::process::id(), PLANNED.fetch_add(1, Ordering::SeqCst) + 1);
    let byte = |value: u32| u8::try_from(value).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, byte(64 + run % 180), byte(run / 180 % 250), byte(machine % 250)).into()
}

/// Chooses addresses for machines in `zones`, each of which reaches the store at its own address.
pub fn plan(zones: &[&str], stores: &[SocketAddr]) -> io::Result<Vec<Machine>> {
    let machines = zones.iter().zip(stores).map(|(zone, store)| {
        let ip = next_ip();
        let [front, ready, control] = PORTS.map(|port| SocketAddr::new(ip, port));
        Machine {
            name: format!("front-{zone}-{}", ip.to_string().replace('.', "-")),
            zone: (*zone).to_owned(),
            front,
            ready,
            control,
            store: *store,
            process: None,
        }
    });
    Ok(machines.collect())
}

/// Returns the seeds of a plan: the control addresses of its first machines.
pub fn seeds(machines: &[Machine]) -> Vec<String> {
    machines.iter().take(3).map(|machine| machine.control.to_string()).collect()
}

/// Starts the machines that don't run.
pub fn start(machines: &mut [Machine], seeds: &[String], bootstrap: bool) -> io::Result<()> {
    for machine in machines.iter_mut().filter(|machine| machine.process.is_none()) {
        machine.start(seeds, bootstrap)?;
    }
    Ok(())
}

/// Waits until all machines are ready.
pub fn wait_until_ready(machines: &[Machine]) -> Result<(), String> {
    let end = Instant::now() + READY_TIME_MAX;
    for machine in machines {
        while client::get(machine.ready, "/jaycrank/ready", "", Duration::from_secs(1)) != Some(200)
        {
            if Instant::now() > end {
                return Err(format!("{} is not ready", machine.name));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

/// Kills the processes of all machines at once.
pub fn kill(machines: &mut [Machine]) {
    let ids: Vec<u32> = machines.iter_mut().filter_map(|machine| machine.process.take()).collect();
    let mut running = lock(&RUNNING);
    for child in running.iter_mut().filter(|child| ids.contains(&child.id())) {
        // It may have ended already.
        let _ = child.kill();
    }
    for child in running.iter_mut().filter(|child| ids.contains(&child.id())) {
        let _ = child.wait();
    }
    running.retain(|child| !ids.contains(&child.id()));
}

/// Stops the processes of machines with SIGTERM and waits until they have ended.
pub fn stop(machines: &mut [Machine]) -> io::Result<()> {
    let ids: Vec<u32> = machines.iter_mut().filter_map(|machine| machine.process.take()).collect();
    let names = ids.iter().map(u32::to_string);
    Command::new("kill").arg("-TERM").args(names).status()?;
    let mut running = lock(&RUNNING);
    for child in running.iter_mut().filter(|child| ids.contains(&child.id())) {
        child.wait()?;
    }
    running.retain(|child| !ids.contains(&child.id()));
    Ok(())
}

impl Machine {
    fn start(&mut self, seeds: &[String], bootstrap: bool) -> io::Result<()> {
        let folder = std::env::temp_dir().join(format!("jaycrank-review-{}", std::process::id()));
        *lock(&FOLDER) = Some(folder.clone());
        let folder = folder.join(&self.name);
        fs::create_dir_all(&folder)?;
        let settings = folder.join("settings.toml");
        fs::write(&settings, self.settings(seeds, bootstrap))?;
        let log = File::options().create(true).append(true).open(folder.join("log"))?;
        let child = Command::new(PROGRAM)
            .env("JAYCRANK_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.process = Some(child.id());
        lock(&RUNNING).push(child);
        Ok(())
    }

    fn settings(&self, seeds: &[String], bootstrap: bool) -> String {
        let Self { name, zone, front, ready, control, store, .. } = self;
        let ip = front.ip();
        format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
             serves = [\"front\", \"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"r-{zone}\"\ninternalPorts = [8104, 8109]\nseeds = {seeds:?}\n\
             bootstrap = {bootstrap}\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatIntervalMs = 1200\n\
             [zones]\nza = \"r-za\"\nzb = \"r-zb\"\nzc = \"r-zc\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [tolerate]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = 4000\nackMs = 5000\n\
             catchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 12000\nretryBudgetRatio = 0.2\n\
             budgetWindowS = 10\nbudgetSlack = 58\nrecoveryS = 12\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\n\
             readsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n"
        )
    }
}

/// Returns a configuration. Each route is a name, a path prefix and a service.
pub fn config(version: u64, routes: &[(String, String, String)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, service)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"db.example\",\"pathPrefix\":\"{prefix}\",\
                 \"kind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":120,\"priority\":1,\
                 \"service\":\"{service}\",\"maxAttempts\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":26,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
