//! Tokens of members and operators. Settings hold only their digests.

use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;

/// Returns the SHA-256 digest of a token in lower-case hexadecimal, as the settings hold it.
///
/// ```
/// let digest = jaycrank::token::digest("secret");
/// assert_eq!(&digest[..8], "2bb80d53");
/// ```
pub fn digest(token: &str) -> SmolStr {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        for digit in [byte >> 4, byte & 0xf] {
            text.push(char::from_digit(u32::from(digit), 16).unwrap_or('0'));
        }
    }
    text.into()
}

/// Generates a random token of 128 bits, in hexadecimal.
pub fn random() -> String {
    format!("{:032x}", rand::random::<u128>())
}
