use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hollyhook_core::Name;

/// Error for an invalid value: the problem, and a hint how to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ValueError {
    pub(crate) problem: String,
    pub(crate) hint: String,
}

type Parsed<T> = Result<T, ValueError>;

fn invalid<T>(problem: impl Into<String>, hint: impl Into<String>) -> Parsed<T> {
    Err(ValueError { problem: problem.into(), hint: hint.into() })
}

/// Parses a duration from `min` to `max`, such as `250 ms`, `4 s` or `2 min`.
pub(crate) fn duration(min: Duration, max: Duration) -> impl Fn(&str) -> Parsed<Duration> {
    move |text| {
        let (number, unit) = split_unit(text);
        let hint = "give a number and `ms`, `s`, `min` or `h`, such as `250 ms`";
        let Some(number) = number.parse::<f64>().ok().filter(|number| number.is_finite()) else {
            return invalid(format!("`{text}` is not a time"), hint);
        };
        let millis = match unit {
            "ms" => 1.0,
            "s" => 1e3,
            "min" => 60e3,
            "h" => 3_600e3,
            "" => return invalid(format!("`{text}` has no unit"), hint),
            _ => return invalid(format!("`{unit}` is not a unit of time"), hint),
        };
        let duration = Duration::from_micros((number * millis * 1e3).round() as u64);
        if duration < min || duration > max {
            let hint = format!("give a time from {} ms to {} ms", min.as_millis(), max.as_millis());
            return invalid(format!("`{text}` is out of range"), hint);
        }
        Ok(duration)
    }
}

/// Parses a size from `min` to `max` bytes, such as `1 MiB`.
pub(crate) fn bytes(min: usize, max: usize) -> impl Fn(&str) -> Parsed<usize> {
    move |text| {
        let (number, unit) = split_unit(text);
        let hint = "give a number and `B`, `KiB` or `MiB`, such as `1 MiB`";
        let Ok(number) = number.parse::<usize>() else {
            return invalid(format!("`{text}` is not a size"), hint);
        };
        let factor = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "" => return invalid(format!("`{text}` has no unit"), hint),
            _ => return invalid(format!("`{unit}` is not a unit of size"), hint),
        };
        let size = number.saturating_mul(factor);
        if size < min || size > max {
            return invalid(format!("`{text}` is out of range"), format!("give a size from {min} B to {max} B"));
        }
        Ok(size)
    }
}

/// Parses a number of tokens from `min` to `max`, such as `32768 tokens`.
pub(crate) fn tokens(min: u64, max: u64) -> impl Fn(&str) -> Parsed<u64> {
    move |text| {
        let (number, unit) = split_unit(text);
        if unit != "tokens" {
            return invalid(format!("`{text}` has no unit"), "give a number and `tokens`, such as `32768 tokens`");
        }
        count(min, max)(number)
    }
}

/// Parses a whole number from `min` to `max`.
pub(crate) fn count(min: u64, max: u64) -> impl Fn(&str) -> Parsed<u64> {
    move |text| match text.parse() {
        Ok(number) if (min..=max).contains(&number) => Ok(number),
        Ok(_) => invalid(format!("`{text}` is out of range"), format!("give a number from {min} to {max}")),
        Err(_) => invalid(format!("`{text}` is not a whole number"), format!("give a number from {min} to {max}")),
    }
}

/// Parses a percentage, such as `20 %`, into a number from 0 to 1.
pub(crate) fn percentage(text: &str) -> Parsed<f64> {
    let (number, unit) = split_unit(text);
    let hint = "give a number from 0 to 100 and `%`, such as `20 %`";
    match number.parse::<f64>() {
        Ok(number) if unit == "%" && (0.0..=100.0).contains(&number) => Ok(number / 100.0),
        Ok(_) if unit.is_empty() => invalid(format!("`{text}` has no unit"), hint),
        _ => invalid(format!("`{text}` is not a percentage"), hint),
    }
}

/// Parses the speed of a network link in Mbit/s, rounded up to a whole number.
pub(crate) fn link_mbps(text: &str) -> Parsed<u32> {
    const MAX: f64 = 1_000_000.0;
    match text.parse::<f64>() {
        Ok(number) if (0.0..=MAX).contains(&number) && number > 0.0 => Ok(number.ceil() as u32),
        _ => invalid(format!("`{text}` is not a link speed"), "give Mbit/s from above 0 to 1000000, such as `200`"),
    }
}

/// Parses a number of calls a second; platforms write it with or without a fraction.
pub(crate) fn call_rate(text: &str) -> Parsed<f64> {
    const MAX: f64 = 1_000_000.0;
    match text.parse::<f64>() {
        Ok(number) if (1.0..=MAX).contains(&number) => Ok(number),
        _ => {
            invalid(format!("`{text}` is not a rate of calls"), "give calls a second from 1 to 1000000, such as `400`")
        }
    }
}

/// Parses a ratio from 0 to 100, such as `0.8`.
pub(crate) fn ratio(text: &str) -> Parsed<f64> {
    const MAX: f64 = 100.0;
    match text.parse::<f64>() {
        Ok(number) if (0.0..=MAX).contains(&number) => Ok(number),
        _ => invalid(format!("`{text}` is not a ratio"), "give a number from 0 to 100, such as `0.8`"),
    }
}

/// Parses a fraction from 0 to 1 without a unit, such as `0.1`; platforms write fractions in this form.
pub(crate) fn fraction(text: &str) -> Parsed<f64> {
    match text.parse::<f64>() {
        Ok(number) if (0.0..=1.0).contains(&number) => Ok(number),
        _ => invalid(format!("`{text}` is not a fraction"), "give a number from 0 to 1, such as `0.1`"),
    }
}

/// Parses one of several words into the value listed with it.
pub(crate) fn choice<T: Copy>(options: &'static [(&'static str, T)]) -> impl Fn(&str) -> Parsed<T> {
    move |text| {
        if let Some((_, value)) = options.iter().find(|(word, _)| *word == text) {
            return Ok(*value);
        }
        let words: Vec<&str> = options.iter().map(|(word, _)| *word).collect();
        invalid(format!("`{text}` is not one of the choices"), format!("give one of: {}", words.join(", ")))
    }
}

/// Parses an IP address with a port; host names are not resolved.
pub(crate) fn address(text: &str) -> Parsed<SocketAddr> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => invalid(
            format!("`{text}` is not an IP address with a port"),
            "give an IP address and a port, such as `10.0.1.7:8080`",
        ),
    }
}

/// Parses a list of addresses, separated by commas.
pub(crate) fn addresses(text: &str) -> Parsed<Vec<SocketAddr>> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(address).collect()
}

/// Parses a name of up to 64 letters, digits, dots, underscores and hyphens.
pub(crate) fn name(text: &str) -> Parsed<Name> {
    const MAX: usize = 64;
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.is_empty() || text.len() > MAX || !text.chars().all(is_valid) {
        let hint = format!("give up to {MAX} letters, digits, dots, underscores and hyphens");
        return invalid(format!("`{text}` is not a name"), hint);
    }
    Ok(text.into())
}

/// Parses a list of names, separated by commas.
pub(crate) fn names(text: &str) -> Parsed<Vec<Name>> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(name).collect()
}

/// Parses a path prefix, such as `/booking`; rejects `/v1` and what begins with `/v1/` or `/-/`, which hollyhook serves
/// itself.
pub(crate) fn path_prefix(text: &str) -> Parsed<Name> {
    let is_valid = text.starts_with('/') && text.len() > 1 && !text.ends_with('/') && !text.contains(['?', '#', ' ']);
    if !is_valid {
        return invalid(
            format!("`{text}` is not a path prefix"),
            "begin with `/`, end without `/`, and use no `?`, `#` or space, such as `/booking`",
        );
    }
    if text == "/v1" || text.starts_with("/v1/") || text.starts_with("/-/") {
        return invalid(
            format!("`{text}` is reserved for hollyhook's own paths"),
            "choose a prefix other than `/v1` and `/-`",
        );
    }
    Ok(text.into())
}

/// Parses the path of a file; does not check that the file exists.
pub(crate) fn file_path(text: &str) -> Parsed<PathBuf> {
    if text.is_empty() { invalid("the path is empty", "give the path of a file") } else { Ok(text.into()) }
}

/// Parses 32 bytes written as 64 hexadecimal digits.
pub(crate) fn hex_32(text: &str) -> Parsed<[u8; 32]> {
    let mut bytes = [0; 32];
    let is_hex = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex {
        return invalid("the value is not 64 hexadecimal digits", "run `hollyhook key` to make one");
    }
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digit = |byte: u8| char::from(byte).to_digit(16).unwrap_or_default() as u8;
        *byte = digit(pair[0]) << 4 | digit(pair[1]);
    }
    Ok(bytes)
}

/// Parses 32 bytes written as 64 hexadecimal digits into the same digits in lower case.
pub(crate) fn hex_digest(text: &str) -> Parsed<Name> {
    hex_32(text).map(|_bytes| text.to_ascii_lowercase().into())
}

fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    (&text[..end], text[end..].trim())
}
