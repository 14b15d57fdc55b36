//! Parser of the JSON that the system sends.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
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
}

pub fn parse(text: &str) -> Json {
    let chars: Vec<char> = text.chars().collect();
    value(&chars, &mut 0)
}

fn skip(chars: &[char], at: &mut usize) -> char {
    while chars
        .get(*at)
        .is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':')
    {
        *at += 1;
    }
    chars.get(*at).copied().unwrap_or('\0')
}

fn value(chars: &[char], at: &mut usize) -> Json {
    match skip(chars, at) {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            while !matches!(skip(chars, at), '}' | '\0') {
                let key = string(chars, at);
                fields.push((key, value(chars, at)));
            }
            *at += 1;
            Json::Table(fields)
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            while !matches!(skip(chars, at), ']' | '\0') {
                items.push(value(chars, at));
            }
            *at += 1;
            Json::List(items)
        }
        '"' => Json::Text(string(chars, at)),
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c))
            {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            *at += usize::from(*at == start);
            word.parse().map_or(Json::Null, Json::Number)
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> String {
    let mut out = String::new();
    *at += 1;
    while let Some(c) = chars.get(*at) {
        *at += 1;
        match c {
            '"' => break,
            '\\' => {
                let escaped = chars.get(*at).copied().unwrap_or('\0');
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'u' => {
                        let hex: String = chars.iter().skip(*at).take(4).collect();
                        *at += 4;
                        out.extend(u32::from_str_radix(&hex, 16).ok().and_then(char::from_u32));
                    }
                    other => out.push(other),
                }
            }
            other => out.push(*other),
        }
    }
    out
}
