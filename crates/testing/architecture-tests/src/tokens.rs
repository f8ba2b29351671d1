//! Rust source as tokens with their lines: just enough of the language to tell code from comments and literals.
//!
//! It must not know of any rule. Source that does not compile may give odd tokens, but never a panic.

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A name, keyword, lifetime or number.
    Word,
    /// `::`, or one other sign.
    Sign,
    /// What stands in a string or character literal.
    Literal,
    /// A comment without its slashes, documentation included.
    Comment,
}

/// A token and where it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// What it is.
    pub kind: Kind,
    /// Its text; of a literal what stands between its quotes.
    pub text: String,
    /// Its line, from 1 on.
    pub line: usize,
}

impl Token {
    /// Whether it is this word or sign of code.
    pub fn is(&self, text: &str) -> bool {
        matches!(self.kind, Kind::Word | Kind::Sign) && self.text == text
    }
}

struct Lexer<'s> {
    rest: &'s str,
    line: usize,
    tokens: Vec<Token>,
}

impl<'s> Lexer<'s> {
    /// Take so many bytes off the front.
    fn take(&mut self, bytes: usize) -> &'s str {
        let (taken, rest) = self.rest.split_at(bytes);
        self.rest = rest;
        self.line += taken.matches('\n').count();
        taken
    }

    fn push(&mut self, kind: Kind, bytes: usize, trim: (usize, usize)) {
        let line = self.line;
        let taken = self.take(bytes);
        let end = taken.len().saturating_sub(trim.1).max(trim.0);
        let text = taken.get(trim.0..end).unwrap_or_default().to_string();
        self.tokens.push(Token { kind, text, line });
    }

    fn block_comment(&mut self) {
        let (mut depth, mut at) = (0_usize, 0);
        while at < self.rest.len() {
            let tail = &self.rest[at..];
            if tail.starts_with("/*") {
                (depth, at) = (depth + 1, at + 2);
            } else if tail.starts_with("*/") {
                (depth, at) = (depth - 1, at + 2);
                if depth == 0 {
                    break;
                }
            } else {
                at += tail.chars().next().map_or(1, char::len_utf8);
            }
        }
        self.push(Kind::Comment, at, (2, 2));
    }

    /// A string whose opening quote is at byte `open`; whether it is raw, with so many hashes, says `hashes`.
    fn string(&mut self, open: usize, hashes: Option<usize>) {
        let body = &self.rest[open + 1..];
        let length = match hashes {
            Some(hashes) => {
                let end = format!("\"{}", "#".repeat(hashes));
                body.find(&end).map_or(body.len(), |at| at + end.len())
            }
            None => {
                let mut escaped = false;
                let end = body.char_indices().find(|(_, sign)| {
                    let ends = *sign == '"' && !escaped;
                    escaped = *sign == '\\' && !escaped;
                    ends
                });
                end.map_or(body.len(), |(at, _)| at + 1)
            }
        };
        self.push(Kind::Literal, open + 1 + length, (open + 1, 1 + hashes.unwrap_or(0)));
    }

    /// The opening quote of a string literal with a prefix (`b`, `r`, `br`, `c`), if one begins here.
    fn prefixed_string(&self) -> Option<(usize, Option<usize>)> {
        let prefix = self.rest.bytes().take_while(|b| b"brc".contains(b)).count();
        let after = &self.rest[prefix..];
        let hashes = after.bytes().take_while(|b| *b == b'#').count();
        if prefix > 2 || !after[hashes..].starts_with('"') {
            return None;
        }
        let raw = self.rest[..prefix].contains('r');
        (raw || hashes == 0).then_some((prefix + hashes, raw.then_some(hashes)))
    }

    /// The length of a character literal that begins here; `None`: it is a lifetime.
    fn character(&self) -> Option<usize> {
        let mut signs = self.rest.char_indices().skip(1);
        let (_, first) = signs.next()?;
        if first == '\\' {
            let (at, _) = signs.skip(1).find(|(_, sign)| *sign == '\'')?;
            return Some(at + 1);
        }
        let (at, second) = signs.next()?;
        (second == '\'').then_some(at + 1)
    }

    fn next(&mut self, sign: char) {
        if self.rest.starts_with("//") {
            let end = self.rest.find('\n').unwrap_or(self.rest.len());
            self.push(Kind::Comment, end, (2, 0));
        } else if self.rest.starts_with("/*") {
            self.block_comment();
        } else if let Some((open, hashes)) = self.prefixed_string() {
            self.string(open, hashes);
        } else if sign == '\'' {
            match self.character() {
                Some(length) => self.push(Kind::Literal, length, (1, 1)),
                None => self.push(Kind::Sign, 1, (0, 0)),
            }
        } else if sign.is_alphanumeric() || sign == '_' {
            let end = self.rest.find(|c: char| !c.is_alphanumeric() && c != '_');
            self.push(Kind::Word, end.unwrap_or(self.rest.len()), (0, 0));
        } else if self.rest.starts_with("::") {
            self.push(Kind::Sign, 2, (0, 0));
        } else if sign.is_whitespace() {
            self.take(sign.len_utf8());
        } else {
            self.push(Kind::Sign, sign.len_utf8(), (0, 0));
        }
    }
}

/// All tokens of a source text, in order.
pub fn tokens(source: &str) -> Vec<Token> {
    let mut lexer = Lexer { rest: source, line: 1, tokens: Vec::new() };
    while let Some(sign) = lexer.rest.chars().next() {
        lexer.next(sign);
    }
    lexer.tokens
}
