//! JSON values, their text form and base64, without a library.

use std::fmt::Write;

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
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        let mut text = String::new();
        self.write_to(&mut text);
        text
    }

    fn write_to(&self, text: &mut String) {
        match self {
            Json::Null => text.push_str("null"),
            Json::Bool(value) => text.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) => drop(write!(text, "{number}")),
            Json::Text(value) => write_text(value, text),
            Json::List(items) => {
                text.push('[');
                for (position, item) in items.iter().enumerate() {
                    if position > 0 {
                        text.push(',');
                    }
                    item.write_to(text);
                }
                text.push(']');
            }
            Json::Object(fields) => {
                text.push('{');
                for (position, (key, value)) in fields.iter().enumerate() {
                    if position > 0 {
                        text.push(',');
                    }
                    write_text(key, text);
                    text.push(':');
                    value.write_to(text);
                }
                text.push('}');
            }
        }
    }

    /// Parses a text; `None` unless it is one JSON value.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip();
        (parser.at == parser.bytes.len()).then_some(value)
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

fn write_text(value: &str, text: &mut String) {
    text.push('"');
    for character in value.chars() {
        match character {
            '"' | '\\' => text.extend(['\\', character]),
            character if (character as u32) < 0x20 => {
                let _ = write!(text, "\\u{:04x}", character as u32);
            }
            character => text.push(character),
        }
    }
    text.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => Some(Json::Text(self.string()?)),
            b'[' => self.list(),
            b'{' => self.fields(),
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let start = self.at;
        let part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(part) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(items));
            }
            self.take(b',')?;
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip();
            let key = self.string()?;
            self.take(b':')?;
            fields.push((key, self.value()?));
            if self.take(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b',')?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let character = char::from_u32(code.ok()?).unwrap_or('?');
                            bytes.extend(character.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize] as char;
            text.push(if position <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// Returns the number of bytes that a base64 text holds.
pub fn base64_length(text: &str) -> usize {
    text.trim_end_matches('=').len() * 3 / 4
}
