//! Subcommands for operators: settings, status, dump and fairness.

use std::ffi::OsString;
use std::io::Read;

use jaycrank_operator::Client;
use jaycrank_operator::wire::EditRequest;
use jaycrank_settings::Branch;
use jaycrank_settings::Tree;
use serde::Serialize;
use serde_json::Value;

use crate::command;
use crate::command::Error;
use crate::command::failed;
use crate::command::parse_address;
use crate::command::parse_flags;
use crate::flags::Flag;
use crate::flags::Flags;

const TO_FLAG: Flag = Flag {
    name: "to",
    value_name: "URL",
    default: Some("http://127.0.0.1:8081"),
    help: "URL of the operator port of an instance",
};
const TOKEN_FLAG: Flag =
    Flag { name: "token", value_name: "TOKEN", default: None, help: "the operator's token" };

/// Flags of `status`, `dump` and `fairness`.
const READ_FLAGS: [Flag; 2] = [TO_FLAG, TOKEN_FLAG];

/// Flags of `config`.
const CONFIG_FLAGS: [Flag; 5] = [
    TO_FLAG,
    TOKEN_FLAG,
    Flag {
        name: "owner",
        value_name: "TEAM",
        default: Some(""),
        help: "owner of the branch after the edit; empty keeps it",
    },
    Flag {
        name: "base",
        value_name: "REVISION",
        default: Some(""),
        help: "revision of the branch that the edit is based on; read if not given",
    },
    Flag {
        name: "edit-id",
        value_name: "ID",
        default: Some(""),
        help: "id of the edit, random if not given; an edit sent again with its id is applied once",
    },
];

const CONFIG_USAGE: &str =
    "config get [PATH] | put PATH VALUE | remove PATH | log | validate PATH VALUE";

/// Prints the status of an instance and its peers.
///
/// # Errors
///
/// As for [`crate::command::run`].
pub async fn status(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&READ_FLAGS, arguments, "status")? else { return Ok(()) };
    print(&client(&flags)?.status().await.map_err(|error| failed(&error))?)
}

/// Prints the state dump of an instance.
///
/// # Errors
///
/// As for [`crate::command::run`].
pub async fn dump(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&READ_FLAGS, arguments, "dump")? else { return Ok(()) };
    print(&client(&flags)?.dump().await.map_err(|error| failed(&error))?)
}

/// Prints the published query counts of all members.
///
/// # Errors
///
/// As for [`crate::command::run`].
pub async fn fairness(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&READ_FLAGS, arguments, "fairness")? else { return Ok(()) };
    print(&client(&flags)?.fairness().await.map_err(|error| failed(&error))?)
}

/// Reads and edits settings.
///
/// # Errors
///
/// As for [`crate::command::run`].
pub async fn config(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&CONFIG_FLAGS, arguments, CONFIG_USAGE)? else { return Ok(()) };
    let client = client(&flags)?;
    let arguments: Vec<&str> = flags.arguments().iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["get"] => print(&client.config().await.map_err(|error| failed(&error))?),
        ["get", path] => get(&client, path).await,
        ["put", path, value] => put(&client, &flags, path, Some(json(value)?)).await,
        ["remove", path] => put(&client, &flags, path, None).await,
        ["log"] => print(&client.log().await.map_err(|error| failed(&error))?),
        ["validate", path, value] => validate(&client, path, json(value)?).await,
        _ => Err(Error::Usage(format!("usage: jaycrank {CONFIG_USAGE}"))),
    }
}

/// Prints one branch.
async fn get(client: &Client, path: &str) -> Result<(), Error> {
    let tree = client.config().await.map_err(|error| failed(&error))?;
    match tree.branch(path) {
        Some(branch) => print(branch),
        None => Err(Error::Failed(format!("branch `{path}` does not exist"))),
    }
}

/// Sends an edit of a branch; a `value` of `None` removes it.
async fn put(
    client: &Client,
    flags: &Flags,
    path: &str,
    value: Option<Value>,
) -> Result<(), Error> {
    let base = match flags.text("base")? {
        "" => revision(client, path).await?,
        _ => flags.value("base", "a revision, 0 or more", |_| true)?,
    };
    let id = match flags.text("edit-id")? {
        "" => format!("{:032x}", rand::random::<u128>()),
        id => id.to_owned(),
    };
    let owner = Some(flags.text("owner")?).filter(|owner| !owner.is_empty()).map(Into::into);
    let edit = EditRequest { id: id.as_str().into(), base, owner, value };
    print(&client.put(path, &edit).await.map_err(|error| failed(&error))?)
}

/// Returns the revision of a branch, 0 if it does not exist.
async fn revision(client: &Client, path: &str) -> Result<u64, Error> {
    let tree = client.config().await.map_err(|error| failed(&error))?;
    Ok(tree.branch(path).map_or(0, Branch::revision))
}

/// Validates the tree in force with the value of one branch replaced.
async fn validate(client: &Client, path: &str, value: Value) -> Result<(), Error> {
    let tree: Tree = client.config().await.map_err(|error| failed(&error))?;
    let owner = tree.branch(path).map(|branch| branch.owner().clone()).unwrap_or_default();
    let tree = tree.with_branch(path, Branch::new(owner, value));
    print(&client.validate(&tree).await.map_err(|error| failed(&error))?)
}

fn client(flags: &Flags) -> Result<Client, Error> {
    Ok(Client::new(parse_address(flags.text("to")?)?, flags.text("token")?))
}

/// Parses a JSON value, read from standard input if the text is `-`.
fn json(text: &str) -> Result<Value, Error> {
    let mut input = String::new();
    if text == "-" {
        std::io::stdin().read_to_string(&mut input).map_err(|error| failed(&error))?;
    }
    let text = if text == "-" { input.as_str() } else { text };
    serde_json::from_str(text)
        .map_err(|error| Error::Usage(format!("VALUE is not valid JSON: {error}")))
}

fn print<T: Serialize>(message: &T) -> Result<(), Error> {
    command::print(&serde_json::to_string_pretty(message).map_err(|error| failed(&error))?)
}
