//! Flags: precedence, ranges and exact error messages.

use std::ffi::OsString;

use jaycrank::flags;
use jaycrank::flags::Flag;
use jaycrank::flags::Flags;

const TABLE: [Flag; 3] = [
    Flag {
        name: "caller-port",
        value_name: "PORT",
        default: Some("8080"),
        help: "port for callers",
    },
    Flag { name: "token", value_name: "TOKEN", default: None, help: "the member's token" },
    Flag { name: "json", value_name: "", default: None, help: "print JSON" },
];

fn parse(arguments: &[&str], variables: &[(&str, &str)]) -> flags::Result<Flags> {
    let variable = |name: &str| {
        let found = variables.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| (*value).to_owned())
    };
    Flags::parse(&TABLE, arguments.iter().map(OsString::from), variable)
}

fn port(flags: &Flags) -> flags::Result<u16> {
    flags.value("caller-port", "1 to 65535", |port| *port > 0)
}

/// Guards against a variable that overrides a flag, or a default that overrides either.
#[test]
fn flag_overrides_variable_and_default() {
    let variables = [("JAYCRANK_CALLER_PORT", "2")];
    assert_eq!(port(&parse(&["--caller-port", "1"], &variables).unwrap()), Ok(1));
    assert_eq!(port(&parse(&[], &variables).unwrap()), Ok(2));
    assert_eq!(port(&parse(&[], &[]).unwrap()), Ok(8080));
}

/// Guards against error messages without the flag, the value or the accepted range.
#[test]
fn errors_name_flag_value_and_range() {
    let wrong_flag = port(&parse(&["--caller-port", "0"], &[]).unwrap()).unwrap_err();
    let wrong_variable = port(&parse(&[], &[("JAYCRANK_CALLER_PORT", "x")]).unwrap()).unwrap_err();
    let missing = parse(&[], &[]).unwrap().text("token").unwrap_err();
    let unknown = parse(&["--nope"], &[]).unwrap_err();
    let no_value = parse(&["--token"], &[]).unwrap_err();
    let errors = [wrong_flag, wrong_variable, missing, unknown, no_value];
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_json_snapshot!(messages, @r#"
    [
      "--caller-port: `0` is not accepted; accepted: 1 to 65535",
      "JAYCRANK_CALLER_PORT: `x` is not accepted; accepted: 1 to 65535",
      "--token must be given",
      "unknown flag --nope",
      "missing argument for option '--token'"
    ]
    "#);
}

/// Guards against a help text without the variable or the default.
#[test]
fn help_names_variable_and_default() {
    insta::assert_snapshot!(flags::help(&TABLE), @r"
      --caller-port PORT             port for callers (default 8080; JAYCRANK_CALLER_PORT)
      --token TOKEN                  the member's token (required; JAYCRANK_TOKEN)
      --json                         print JSON (off; JAYCRANK_JSON)
    ");
}
