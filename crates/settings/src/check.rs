//! Checks of single values. Their errors name the path, the value and the accepted range.

use std::fmt::Display;
use std::ops::RangeInclusive;

use smol_str::format_smolstr;

use crate::error::Error;
use crate::error::Result;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Checks that a number lies in a range.
///
/// # Errors
///
/// Returns an error with the path, the value and the range.
pub fn range<T>(path: &str, field: &str, value: T, accepted: RangeInclusive<T>) -> Result<()>
where
    T: PartialOrd + Display + std::fmt::Debug,
{
    if accepted.contains(&value) {
        return Ok(());
    }
    let accepted = format_smolstr!("{} to {}", accepted.start(), accepted.end());
    Err(Error::new(format_smolstr!("{path}/{field}"), format_smolstr!("{value:?}"), accepted))
}

/// Checks that a token digest is a SHA-256 digest in lower-case hexadecimal.
///
/// # Errors
///
/// Returns an error with the path, the value and the accepted form.
pub fn digest(path: &str, field: &str, value: &str) -> Result<()> {
    let accepted = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if value.len() == DIGEST_DIGITS && value.bytes().all(accepted) {
        return Ok(());
    }
    let form = "a SHA-256 digest, 64 lower-case hexadecimal digits";
    Err(Error::new(format_smolstr!("{path}/{field}"), format_smolstr!("{value:?}"), form))
}

/// Checks that a path segment, team or identifier has 1 to 64 characters of `a-z`, `0-9` and `-`.
///
/// # Errors
///
/// Returns an error with the path, the name and the accepted form.
pub fn name(path: &str, value: &str) -> Result<()> {
    let accepted = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if (1..=64).contains(&value.len()) && value.bytes().all(accepted) {
        return Ok(());
    }
    Err(Error::new(path, format_smolstr!("{value:?}"), "1 to 64 of a-z, 0-9 and -"))
}
