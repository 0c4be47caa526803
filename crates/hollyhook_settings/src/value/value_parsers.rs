use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hollyhook_core::Name;

/// What is wrong with a value, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ValueFault {
    pub(crate) wrong: String,
    pub(crate) right: String,
}

type Parsed<T> = Result<T, ValueFault>;

fn fault<T>(wrong: impl Into<String>, right: impl Into<String>) -> Parsed<T> {
    Err(ValueFault { wrong: wrong.into(), right: right.into() })
}

/// A span between `least` and `most`, such as `250 ms`, `4 s` or `2 min`.
pub(crate) fn span(least: Duration, most: Duration) -> impl Fn(&str) -> Parsed<Duration> {
    move |text| {
        let (number, unit) = split_unit(text);
        let right = "give a number and `ms`, `s`, `min` or `h`, such as `250 ms`";
        let Some(number) = number.parse::<f64>().ok().filter(|number| number.is_finite()) else {
            return fault(format!("`{text}` is not a time"), right);
        };
        let millis = match unit {
            "ms" => 1.0,
            "s" => 1e3,
            "min" => 60e3,
            "h" => 3_600e3,
            "" => return fault(format!("`{text}` has no unit"), right),
            _ => return fault(format!("`{unit}` is not a unit of time"), right),
        };
        let span = Duration::from_micros((number * millis * 1e3).round() as u64);
        if span < least || span > most {
            let right = format!("give a time from {} ms to {} ms", least.as_millis(), most.as_millis());
            return fault(format!("`{text}` is out of range"), right);
        }
        Ok(span)
    }
}

/// A size between `least` and `most` bytes, such as `1 MiB`.
pub(crate) fn bytes(least: usize, most: usize) -> impl Fn(&str) -> Parsed<usize> {
    move |text| {
        let (number, unit) = split_unit(text);
        let right = "give a number and `B`, `KiB` or `MiB`, such as `1 MiB`";
        let Ok(number) = number.parse::<usize>() else {
            return fault(format!("`{text}` is not a size"), right);
        };
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "" => return fault(format!("`{text}` has no unit"), right),
            _ => return fault(format!("`{unit}` is not a unit of size"), right),
        };
        let size = number.saturating_mul(factor);
        if size < least || size > most {
            return fault(format!("`{text}` is out of range"), format!("give a size from {least} B to {most} B"));
        }
        Ok(size)
    }
}

/// A number of tokens between `least` and `most`, such as `32768 tokens`.
pub(crate) fn tokens(least: u64, most: u64) -> impl Fn(&str) -> Parsed<u64> {
    move |text| {
        let (number, unit) = split_unit(text);
        if unit != "tokens" {
            return fault(format!("`{text}` has no unit"), "give a number and `tokens`, such as `32768 tokens`");
        }
        count(least, most)(number)
    }
}

/// A whole number between `least` and `most`.
pub(crate) fn count(least: u64, most: u64) -> impl Fn(&str) -> Parsed<u64> {
    move |text| match text.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        Ok(_) => fault(format!("`{text}` is out of range"), format!("give a number from {least} to {most}")),
        Err(_) => fault(format!("`{text}` is not a whole number"), format!("give a number from {least} to {most}")),
    }
}

/// A share, such as `20 %`.
pub(crate) fn share(text: &str) -> Parsed<f64> {
    let (number, unit) = split_unit(text);
    let right = "give a number from 0 to 100 and `%`, such as `20 %`";
    match number.parse::<f64>() {
        Ok(number) if unit == "%" && (0.0..=100.0).contains(&number) => Ok(number / 100.0),
        Ok(_) if unit.is_empty() => fault(format!("`{text}` has no unit"), right),
        _ => fault(format!("`{text}` is not a share"), right),
    }
}

/// What a link carries, in Mbit/s; a part of one counts as one.
pub(crate) fn link_mbps(text: &str) -> Parsed<u32> {
    const MOST: f64 = 1_000_000.0;
    match text.parse::<f64>() {
        Ok(number) if (0.0..=MOST).contains(&number) && number > 0.0 => Ok(number.ceil() as u32),
        _ => fault(format!("`{text}` is not a link's speed"), "give Mbit/s from above 0 to 1000000, such as `200`"),
    }
}

/// A number of things for each thing, such as `0.8`.
pub(crate) fn ratio(text: &str) -> Parsed<f64> {
    const MOST: f64 = 100.0;
    match text.parse::<f64>() {
        Ok(number) if (0.0..=MOST).contains(&number) => Ok(number),
        _ => fault(format!("`{text}` is not a ratio"), "give a number from 0 to 100, such as `0.8`"),
    }
}

/// A part of a whole as a plain number, such as `0.1`; platforms state theirs so.
pub(crate) fn fraction(text: &str) -> Parsed<f64> {
    match text.parse::<f64>() {
        Ok(number) if (0.0..=1.0).contains(&number) => Ok(number),
        _ => fault(format!("`{text}` is not a part of a whole"), "give a number from 0 to 1, such as `0.1`"),
    }
}

/// One of several words.
pub(crate) fn choice<T: Copy>(options: &'static [(&'static str, T)]) -> impl Fn(&str) -> Parsed<T> {
    move |text| {
        if let Some((_, value)) = options.iter().find(|(word, _)| *word == text) {
            return Ok(*value);
        }
        let words: Vec<&str> = options.iter().map(|(word, _)| *word).collect();
        fault(format!("`{text}` is not one of the choices"), format!("give one of: {}", words.join(", ")))
    }
}

/// An address by IP number.
pub(crate) fn address(text: &str) -> Parsed<SocketAddr> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => fault(format!("`{text}` is not an address"), "give an IP number and a port, such as `10.0.1.7:8080`"),
    }
}

/// Addresses, parted by commas.
pub(crate) fn addresses(text: &str) -> Parsed<Vec<SocketAddr>> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(address).collect()
}

/// A name of letters, digits, dots, underscores and hyphens.
pub(crate) fn name(text: &str) -> Parsed<Name> {
    const MOST: usize = 64;
    let is_fit = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.is_empty() || text.len() > MOST || !text.chars().all(is_fit) {
        let right = format!("give up to {MOST} letters, digits, dots, underscores and hyphens");
        return fault(format!("`{text}` is not a name"), right);
    }
    Ok(text.into())
}

/// Names, parted by commas.
pub(crate) fn names(text: &str) -> Parsed<Vec<Name>> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(name).collect()
}

/// A path prefix such as `/booking`.
pub(crate) fn path(text: &str) -> Parsed<Name> {
    let is_fit = text.starts_with('/') && text.len() > 1 && !text.ends_with('/') && !text.contains(['?', '#', ' ']);
    if !is_fit {
        return fault(format!("`{text}` is not a path prefix"), "begin with `/` and end without, such as `/booking`");
    }
    if text == "/v1" || text.starts_with("/v1/") || text.starts_with("/-/") {
        return fault(format!("`{text}` is hollyhook's own"), "choose a prefix other than `/v1` and `/-`");
    }
    Ok(text.into())
}

/// The path of a file.
pub(crate) fn file(text: &str) -> Parsed<PathBuf> {
    if text.is_empty() { fault("the path is empty", "give the path of a file") } else { Ok(text.into()) }
}

/// 32 bytes as 64 hexadecimal digits.
pub(crate) fn hex_32(text: &str) -> Parsed<[u8; 32]> {
    let mut bytes = [0; 32];
    let is_hex = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex {
        return fault("the value is not 64 hexadecimal digits", "run `hollyhook key` to make one");
    }
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digit = |byte: u8| char::from(byte).to_digit(16).unwrap_or_default() as u8;
        *byte = digit(pair[0]) << 4 | digit(pair[1]);
    }
    Ok(bytes)
}

/// 32 bytes as 64 hexadecimal digits, kept as lower-case text.
pub(crate) fn hex_digest(text: &str) -> Parsed<Name> {
    hex_32(text).map(|_bytes| text.to_ascii_lowercase().into())
}

fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    (&text[..end], text[end..].trim())
}
