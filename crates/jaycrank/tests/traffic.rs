//! Tests of the table of messages and bytes that is read from logs.

use jaycrank::traffic;
use jaycrank_gateway::topology::Distance;
use jaycrank_gateway::traffic as counts;
use jaycrank_gateway::traffic::Count;
use jaycrank_gateway::traffic::Kind;
use jaycrank_gateway::traffic::Traffic;

fn line(instance: &str, text: &str) -> String {
    format!(
        "12.5 {instance} {{\"level\":\"info\",\"kv\":{{\"code\":\"JC0802\",\"instance\":\"{instance}\",\
         \"counts\":\"{text}\"}}}}\n"
    )
}

/// Guards against counts that are added once for each line, although they are totals, and against
/// losing those of a process that was restarted.
#[test]
fn last_counts_of_each_process_are_added() {
    let log = line("a", "leafs/remote=1:10:100")
        + &line("a", "leafs/remote=2:20:200 polls/domain=1:1:1")
        + "{\"payload\":\"something else\",\"kv\":{\"code\":\"JC0501\"}}\nJC0802 but no object\n"
        + &line("b", "leafs/remote=5:50:500")
        + &line("a", "leafs/remote=1:7:70 garbage x=1:2 y=1:2:three");
    let sum = traffic::sum(&log);
    let expected = [
        ("leafs/remote".into(), Count { messages: 8, sent: 77, received: 770 }),
        ("polls/domain".into(), Count { messages: 1, sent: 1, received: 1 }),
    ];
    assert_eq!(sum.into_iter().collect::<Vec<_>>(), expected);
}

/// Guards against a log line that can't be read back.
#[test]
fn counts_are_formatted_and_parsed() {
    let traffic = Traffic::default();
    traffic.counter(Kind::Suspects, Distance::Remote).record(3, 4);
    traffic.counter(Kind::Leafs, Distance::Domain).record(1, 0);
    let text = counts::format_counts(&traffic.counts());
    assert_eq!(text, "leafs/domain=1:1:0 suspects/remote=1:3:4");
    assert_eq!(counts::parse_counts(&text), traffic.counts());
}
