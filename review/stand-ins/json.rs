//! A small reader of JSON, as the stand-ins have no dependencies.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not valid.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let (value, end) = value(bytes, 0)?;
        (skip(bytes, end) == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Self::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip(bytes: &[u8], mut at: usize) -> usize {
    while at < bytes.len() && bytes[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn value(bytes: &[u8], at: usize) -> Option<(Json, usize)> {
    let at = skip(bytes, at);
    match bytes.get(at)? {
        b'{' => {
            let (mut fields, mut at) = (BTreeMap::new(), skip(bytes, at + 1));
            while bytes.get(at)? != &b'}' {
                let (key, end) = text(bytes, at)?;
                let colon = skip(bytes, end);
                (bytes.get(colon)? == &b':').then_some(())?;
                let (field, end) = value(bytes, colon + 1)?;
                fields.insert(key, field);
                at = skip(bytes, end);
                if bytes.get(at)? == &b',' {
                    at = skip(bytes, at + 1);
                }
            }
            Some((Json::Object(fields), at + 1))
        }
        b'[' => {
            let (mut items, mut at) = (Vec::new(), skip(bytes, at + 1));
            while bytes.get(at)? != &b']' {
                let (item, end) = value(bytes, at)?;
                items.push(item);
                at = skip(bytes, end);
                if bytes.get(at)? == &b',' {
                    at = skip(bytes, at + 1);
                }
            }
            Some((Json::List(items), at + 1))
        }
        b'"' => text(bytes, at).map(|(text, end)| (Json::Text(text), end)),
        b't' => bytes[at..]
            .starts_with(b"true")
            .then_some((Json::Bool(true), at + 4)),
        b'f' => bytes[at..]
            .starts_with(b"false")
            .then_some((Json::Bool(false), at + 5)),
        b'n' => bytes[at..]
            .starts_with(b"null")
            .then_some((Json::Null, at + 4)),
        _ => {
            let is_part =
                |byte: &&u8| matches!(byte, b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9');
            let end = at + bytes[at..].iter().take_while(is_part).count();
            let number = std::str::from_utf8(&bytes[at..end]).ok()?.parse().ok()?;
            Some((Json::Number(number), end))
        }
    }
}

fn text(bytes: &[u8], at: usize) -> Option<(String, usize)> {
    (bytes.get(at)? == &b'"').then_some(())?;
    let (mut out, mut at) = (Vec::new(), at + 1);
    loop {
        match *bytes.get(at)? {
            b'"' => return Some((String::from_utf8(out).ok()?, at + 1)),
            b'\\' => {
                match *bytes.get(at + 1)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(at + 2..at + 6)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(code.to_string().as_bytes());
                        at += 4;
                    }
                    other => out.push(other),
                }
                at += 2;
            }
            byte => {
                out.push(byte);
                at += 1;
            }
        }
    }
}
