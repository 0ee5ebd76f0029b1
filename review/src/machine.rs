//! Machines of the system: one process of the deploy file each, with its settings file.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;

/// Program of the role in `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/jaycrank-front";
/// Time within which all machines must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Zones of the deployment, each in a region of its own.
pub const ZONES: [(&str, &str); 3] =
    [("erie-toledo", "erie"), ("michigan-gary", "michigan"), ("superior-duluth", "superior")];

/// Machine with its process.
pub struct Machine {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Machine {
    /// Starts the process with the settings that it has.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("JAYCRANK_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().unwrap();
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = Some(command.spawn().expect("the program of the deploy file is not built"));
    }

    /// Asks the process to stop, by SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Tells the process that its settings file has changed, by SIGHUP.
    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let command = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.is_ok_and(|status| status.success()), "cannot signal the process");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /jaycrank/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_millis(500));
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Machines of a run, and the temporary folder with their settings and logs.
pub struct Fleet {
    pub machines: Vec<Machine>,
    directory: PathBuf,
    store: SocketAddr,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP").is_none() {
            // Files that remain in the temporary folder don't affect later runs.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Fleet {
    /// Starts one machine in each zone, whose seeds are these machines.
    pub fn start(store: SocketAddr) -> Self {
        Self::start_with(store, Seeds::Present, true)
    }

    /// Starts one machine in each zone.
    pub fn start_with(store: SocketAddr, seeds: Seeds, bootstrap: bool) -> Self {
        let id = process::id();
        let directory = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&directory).unwrap();
        let mut fleet = Self { machines: Vec::new(), directory, store };
        for (index, (zone, _)) in ZONES.iter().enumerate() {
            let name = format!("front-{zone}-1");
            let settings = fleet.directory.join(format!("{name}.toml"));
            let address = |port: u16| format!("{}:{port}", ip(index)).parse().unwrap();
            let log = fleet.directory.join(format!("{name}.log"));
            let (front, ready) = (address(8226), address(8227));
            fleet.machines.push(Machine { front, ready, child: None, settings, log });
        }
        fleet.write_settings(seeds, bootstrap);
        fleet.machines.iter_mut().for_each(Machine::start);
        fleet
    }

    /// Writes the settings files of all machines.
    pub fn write_settings(&self, seeds: Seeds, bootstrap: bool) {
        let first = match seeds {
            Seeds::Present => 0,
            Seeds::Removed => ZONES.len(),
        };
        let seeds = [0, 1, 2].map(|seed| format!("\"{}:8224\"", ip(first + seed))).join(",");
        for (index, machine) in self.machines.iter().enumerate() {
            let text = settings_text(index, &ip(index), &seeds, self.store)
                .replace("bootstrap = true", &format!("bootstrap = {bootstrap}"));
            // A process must not read a file that is only half written.
            let new = machine.settings.with_extension("new");
            fs::write(&new, text).unwrap();
            fs::rename(&new, &machine.settings).unwrap();
        }
    }

    /// Waits until all machines are ready; returns whether they are.
    pub fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.machines.iter().all(Machine::is_ready) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Which machines the settings name as seeds.
#[derive(Clone, Copy)]
pub enum Seeds {
    /// The machines of the fleet.
    Present,
    /// Machines that have been removed, at addresses at which nothing listens.
    Removed,
}

/// Returns the address of a machine. Each run has loopback addresses of its own, so that its ports
/// are free.
fn ip(index: usize) -> String {
    let id = process::id();
    format!("127.{}.{}.{}", 10 + id % 200, id / 200 % 250, index + 1)
}

/// Returns a settings file as the platform writes it, with the figures of the small deployment.
fn settings_text(zone: usize, ip: &str, seeds: &str, store: SocketAddr) -> String {
    let (zone, region) = ZONES[zone];
    let name = format!("front-{zone}-1");
    let zones: String =
        ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
    format!(
        "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
         internalPorts = [7740,7755]\nseeds = [{seeds}]\nbootstrap = true\nlossCounts = false\n\
         discovery = \"platform\"\nentry = \"vip\"\nheartbeatIntervalMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n\
         [zones]\n{zones}\
         [listen]\nfront = \"{ip}:8226\"\nready = \"{ip}:8227\"\ncontrol = \"{ip}:8224\"\n\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
         [tolerate]\nmachines = 2\nzones = 0\nregions = 0\n\
         [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\n\
         drainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\n\
         maxSkewMs = 12000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 58\nrecoveryS = 12\n\
         [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         historyS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n"
    )
}
