//! Minimal JSON values for the stand-ins of this review.

use std::fmt;

/// A JSON value. Numbers are exact up to 2^53.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Returns a field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

pub fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(out, "{}", *value as i64),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(value) => write_text(out, value),
            Json::List(list) => {
                out.write_str("[")?;
                for (position, item) in list.iter().enumerate() {
                    let comma = if position > 0 { "," } else { "" };
                    write!(out, "{comma}{item}")?;
                }
                out.write_str("]")
            }
            Json::Object(fields) => {
                out.write_str("{")?;
                for (position, (key, value)) in fields.iter().enumerate() {
                    out.write_str(if position > 0 { "," } else { "" })?;
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    out.write_str("\"")?;
    for character in value.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    out.write_str("\"")
}

/// Parses a text; `None` if it is not JSON.
pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut parser = Parser { bytes, at: 0 };
    let value = parser.value()?;
    parser.space();
    (parser.at == bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        let found = self.peek()? == byte;
        self.at += 1;
        found.then_some(())
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes.get(self.at..self.at + word.len())? == word.as_bytes();
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    if !list.is_empty() {
                        self.expect(b',')?;
                    }
                    list.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    if !fields.is_empty() {
                        self.expect(b',')?;
                        self.space();
                    }
                    let key = self.string()?;
                    self.expect(b':')?;
                    fields.push((key, self.value()?));
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            _ => {
                let start = self.at;
                let part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('\u{fffd}');
                            out.extend(character.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
