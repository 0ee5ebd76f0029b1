//! Cases of the second review: `review-2 CASE DIRECTORY` plays a case and writes `record.txt` there.
//!
//! Exit code 1 means that the rule was broken, 0 that it held, 2 that the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod front;
mod http;
mod joining;
mod leaf;
mod poison;
mod record;
mod refused;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up. The processes that it started end with it.
const TIME_MAX: Duration = Duration::from_secs(112);

/// Result of a case: whether the rule held, or the reason why the case couldn't run.
type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE DIRECTORY");
        exit(2);
    };
    let play: fn(&Arc<Record>, bool) -> Verdict = match case.as_str() {
        "joining" => joining::play,
        "kills" => poison::play_kills,
        "dark" => poison::play_dark,
        "popular" => poison::play_popular,
        "refused" => refused::play,
        "strangers" => poison::play_dead_seeds,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let path = PathBuf::from(directory).join("record.txt");
    let record = Arc::new(Record::new());
    record.note(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let guarded = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_MAX);
        guarded.note("given up: the case took too long");
        front::end_all();
        exit(2);
    });
    let played = record.clone();
    let verdict = thread::spawn(move || play(&played, trouble))
        .join()
        .unwrap_or_else(|_| Err("the stand-ins failed".into()));
    front::end_all();
    let (text, code) = match verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(cause) => (format!("the case couldn't run: {cause}"), 2),
    };
    println!("{text}");
    record.note(text);
    if let Err(error) = record.write(&path) {
        eprintln!("cannot write {}: {error}", path.display());
        exit(2);
    }
    exit(code);
}
