//! Processes of `jaycrankd` that use a stand-in platform over HTTP.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use common::non_idempotent;
use common::query;
use common::runs;
use common::start;
use common::wait_until;
use common::with_timeout;
use jaycrank_caller::Client;
use jaycrank_caller::client::Error;
use jaycrank_caller::wire::Category;
use jaycrank_operator::Client as Operator;
use tokio::task::JoinSet;
use tokio::time::sleep;

const SERVICE: &str = "crew-sheets";

/// Number of the attempt at which the test stops retrying a request with an unknown outcome.
const ATTEMPTS_END: u32 = 12;

/// A process that is killed on drop.
struct Process {
    child: Child,
    caller: SocketAddr,
    operator: SocketAddr,
    instance: SocketAddr,
}

impl Process {
    /// Starts a process on free ports, and reads its addresses from its event `JC0101`.
    fn start(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let mut child = Command::new(env!("CARGO_BIN_EXE_jaycrankd"))
            .args(["--name", name, "--platform", &platform.to_string()])
            .args(["--caller-port", "0", "--operator-port", "0", "--instance-port", "0"])
            .args(["--seeds", &seeds.join(","), "--log", "info", "--instances-max", "4"])
            .env("JAYCRANK_SHARED_KEY", "a key for this test only")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
        let event = |line: String| serde_json::from_str::<serde_json::Value>(&line).ok();
        let listening = log
            .by_ref()
            .filter_map(event)
            .find(|event| event["kv"]["code"] == "JC0101")
            .expect("the process listens");
        // Reads the rest of the log, so that the process never blocks on a full pipe.
        std::thread::spawn(move || log.for_each(drop));
        let address = |key: &str| listening["kv"][key].as_str().unwrap().parse().unwrap();
        let (caller, operator, instance) =
            (address("caller"), address("operator"), address("peers"));
        Self { child, caller, operator, instance }
    }

    /// Sends a signal to this process, for example `TERM`.
    fn signal(&self, name: &str) {
        let script = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &script]).status().unwrap().success());
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already exited; that is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against stand-ins of `jaycrank standin` that separately started processes can't use.
#[tokio::test(flavor = "multi_thread")]
async fn process_answers_queries_from_separately_started_stand_ins() {
    with_timeout(async {
        let mut standin = Command::new(env!("CARGO_BIN_EXE_jaycrank"))
            .args(["standin", "--platform-port", "0"])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(standin.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut standin = Process { child: standin, caller: any, operator: any, instance: any };
        let value = |name: &str| {
            let words = line.split_whitespace().filter_map(|word| word.split_once('='));
            let mut words = words.filter(|(key, _)| *key == name);
            words.next().expect("the ready line has this key").1
        };
        let mut process = Process::start("by-hand", value("platform").parse().unwrap(), &[]);
        let client = Client::new(process.caller, value("member-token"));
        wait_until("a query is answered in full", || async {
            let answer = client.query(&query("order-history", "1")).await;
            answer.is_ok_and(|answer| answer.complete && answer.results.len() == 15)
        })
        .await;
        for process in [&mut process, &mut standin] {
            process.signal("TERM");
            assert_eq!(process.wait_for_exit().await.code(), Some(0));
        }
    })
    .await;
}

/// Returns the number of partitions that a process reports as owned.
async fn owned_partitions(operator: &Operator) -> usize {
    let Ok(dump) = operator.dump().await else { return 0 };
    let claims = dump["claims"].as_array().cloned().unwrap_or_default();
    claims.iter().filter(|claim| claim["owner"] == true).count()
}

/// Guards against a request that runs twice when instances are killed, paused until their
/// partitions are taken over, or stopped; and against a graceful shutdown that fails.
#[tokio::test(flavor = "multi_thread")]
async fn killed_paused_and_stopped_processes_run_no_request_twice() {
    with_timeout(async {
        let local = start(0, SERVICE).await;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (store, list) = (local.store().clone(), local.list().clone());
        let platform = jaycrank_standin::http::bind(any, store, list).await.unwrap();
        let mut processes: Vec<Process> = Vec::new();
        for number in 0..4 {
            let seeds: Vec<SocketAddr> = processes.iter().map(|one| one.instance).collect();
            processes.push(Process::start(
                &format!("process-{number}"),
                platform.address(),
                &seeds,
            ));
        }
        let operators: Vec<Operator> = processes
            .iter()
            .map(|process| Operator::new(process.operator, local.operator_token()))
            .collect();
        for operator in &operators {
            let knows_all = || async {
                let status = operator.status().await;
                status.is_ok_and(|status| {
                    let live =
                        |peer: &&jaycrank_operator::wire::PeerStatus| peer.liveness == "live";
                    status.state == "ready" && status.peers.values().filter(live).count() == 3
                })
            };
            wait_until("all processes know each other", knows_all).await;
        }
        let clients: Vec<Arc<Client>> = processes
            .iter()
            .map(|process| Arc::new(Client::new(process.caller, local.member_token())))
            .collect();
        for client in &clients {
            assert!(client.query(&query(SERVICE, "1")).await.unwrap().complete);
        }

        let sent = Arc::new(Mutex::new(Vec::new()));
        let mut load = JoinSet::new();
        for (number, client) in clients.iter().enumerate() {
            for sender in 0..4 {
                let (client, sent) = (client.clone(), sent.clone());
                load.spawn(async move {
                    for turn in 0.. {
                        let id = format!("process-{number}-{sender}-{turn}");
                        let mut request = non_idempotent(SERVICE, &id, 1);
                        request.deadline_ms = 2_000;
                        let outcome = client.query(&request).await;
                        sent.lock().unwrap().push((id, outcome.err()));
                        sleep(Duration::from_millis(5)).await;
                    }
                });
            }
        }
        let count = || async { sent.lock().unwrap().len() };
        wait_until("the load runs", || async { count().await > 100 }).await;

        processes[0].signal("KILL");
        let are_taken_over = |from: usize| {
            let operators = &operators;
            move || async move {
                let mut partitions = 0;
                for operator in &operators[from..] {
                    partitions += owned_partitions(operator).await;
                }
                partitions == 4
            }
        };
        wait_until("the partitions of the killed process are taken over", are_taken_over(1)).await;
        processes[1].signal("STOP");
        wait_until("the partitions of the paused process are taken over", are_taken_over(2)).await;
        processes[1].signal("CONT");
        wait_until("the paused process answers again", || async {
            operators[1].status().await.is_ok()
        })
        .await;
        processes[2].signal("TERM");
        let status = processes[2].wait_for_exit().await;
        assert_eq!(status.code(), Some(0), "{status}");
        wait_until("the partitions of the stopped process are handed over", || async {
            owned_partitions(&operators[1]).await + owned_partitions(&operators[3]).await == 4
        })
        .await;
        load.shutdown().await;

        let sent = std::mem::take(&mut *sent.lock().unwrap());
        for (id, error) in &sent {
            check_not_run(&local, id, error.as_ref());
        }
        // Retries requests that may have run. Those that are then reported as not run must not have
        // run.
        let is_unknown = |error: &Error| error.category() == Category::MayHaveRun;
        let unknown = sent.iter().filter(|(_, error)| error.as_ref().is_some_and(is_unknown));
        for (id, _) in unknown {
            for attempt in 2..ATTEMPTS_END {
                let answer = clients[3].query(&non_idempotent(SERVICE, id, attempt)).await;
                check_not_run(&local, id, answer.as_ref().err());
                if answer.is_ok() {
                    break;
                }
            }
        }
        let runs = runs(&local);
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "{twice:?}");
        assert!(sent.iter().filter(|(_, error)| error.is_none()).count() > 100);
    })
    .await;
}

/// Checks that no leaf ran a request that was reported as not run.
fn check_not_run(local: &jaycrank::local::LocalTier, id: &str, error: Option<&Error>) {
    if error.is_some_and(|error| error.category() == Category::NotRun) {
        let request = non_idempotent(SERVICE, id, 1);
        let body = Bytes::copy_from_slice(request.body.get().as_bytes());
        assert!(!runs(local).contains_key(&body), "{id}: {error:?}");
    }
}
