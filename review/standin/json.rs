//! JSON values and base64.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn text(text: &str) -> Value {
        Value::Text(text.to_owned())
    }

    pub fn number(number: u64) -> Value {
        Value::Number(number as f64)
    }

    pub fn object(fields: Vec<(&str, Value)>) -> Value {
        Value::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    /// Returns a field of an object; `None` if it is missing or null.
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Object(fields) = self else { return None };
        let value = fields.iter().find(|(known, _)| known == name).map(|(_, value)| value);
        value.filter(|value| **value != Value::Null)
    }

    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    pub fn u64(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(values)) => values,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.blank();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => quote(f, text),
            Value::List(values) => {
                f.write_str("[")?;
                for (position, value) in values.iter().enumerate() {
                    write!(f, "{}{value}", if position > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Value::Object(fields) => {
                f.write_str("{")?;
                for (position, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if position > 0 { "," } else { "" })?;
                    quote(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            control if (control as u32) < 32 => write!(f, "\\u{:04x}", control as u32)?,
            other => write!(f, "{other}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn blank(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.blank();
        let taken = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(taken);
        taken
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.blank();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut values = Vec::new();
                while !self.take(b']') {
                    if !values.is_empty() && !self.take(b',') {
                        return None;
                    }
                    values.push(self.value()?);
                }
                Some(Value::List(values))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    if !fields.is_empty() && !self.take(b',') {
                        return None;
                    }
                    self.blank();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                }
                Some(Value::Object(fields))
            }
            _ => {
                let start = self.at;
                let part = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                while self.bytes.get(self.at).is_some_and(part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let character = char::from_u32(code.ok()?)?;
                            bytes.extend(character.to_string().into_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
