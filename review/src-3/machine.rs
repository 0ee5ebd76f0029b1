//! Processes of the program under review, each with a loopback address of its own.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;

/// Command of the role in the deploy file.
const PROGRAM: &str = "target/release/jaycrank-front";

/// Machine of a deployment; dropping it kills its process.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: PathBuf,
    child: Option<Child>,
}

/// Addresses of a machine, all of them free.
#[derive(Clone, Copy)]
pub struct Plan {
    ip: Ipv4Addr,
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

impl Plan {
    /// Finds free ports at the address of the machine with this number.
    pub fn new(number: usize) -> io::Result<Self> {
        let run = std::process::id();
        let ip =
            Ipv4Addr::new(127, 80 + (run / 240 % 100) as u8, (run % 240) as u8, number as u8 + 2);
        let listeners: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
        let ports: Vec<u16> = listeners
            .iter()
            .map(|listener| Ok(listener.local_addr()?.port()))
            .collect::<io::Result<_>>()?;
        Ok(Self { ip, front: ports[0], ready: ports[1], control: ports[2], internal: ports[3] })
    }

    fn address(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }
}

impl Machine {
    /// Starts the process of a machine in a zone, with the settings of a small deployment.
    pub fn start(
        name: &str,
        zone: &str,
        plan: Plan,
        seeds: &[Plan],
        store: SocketAddr,
        base: &Path,
    ) -> io::Result<Self> {
        let directory = base.join(name);
        fs::create_dir_all(&directory)?;
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}\"", seed.address(seed.control))).collect();
        let settings = format!(
            r#"node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "r{zone}"
internalPorts = [{internal},{internal}]
seeds = [{seeds}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
a = "ra"
b = "rb"
c = "rc"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoveryS = 12
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"#,
            ip = plan.ip,
            internal = plan.internal,
            seeds = seeds.join(","),
            front = plan.address(plan.front),
            ready = plan.address(plan.ready),
            control = plan.address(plan.control),
        );
        fs::write(directory.join("settings.toml"), settings)?;
        let (front, ready) = (plan.address(plan.front), plan.address(plan.ready));
        let mut machine = Self { name: name.to_owned(), front, ready, directory, child: None };
        machine.child = Some(machine.spawn()?);
        Ok(machine)
    }

    fn spawn(&self) -> io::Result<Child> {
        let log = File::options().create(true).append(true).open(self.directory.join("log"))?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("JAYCRANK_BOOT", self.directory.join("settings.toml"));
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_until_ready(&self, end: Instant) -> bool {
        while Instant::now() < end {
            if TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).is_ok_and(|stream| {
                let text = "GET /jaycrank/ready HTTP/1.1\r\nhost: ready\r\n\r\n";
                client::exchange(stream, text).is_some_and(|response| response.word() == "200")
            }) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}
