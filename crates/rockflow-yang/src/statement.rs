//! A module's text as a tree of statements (RFC 7950, section 6.3). The tokens, with comments, quoting and
//! joined strings, are yang-rs's. Its typed statements are not used here: it takes enumerations, unions and
//! leafrefs for strings without restrictions (0.1.1). The tests have it judge the published modules' grammar.

use yang_rs::parser::{Parser, Token};

/// Deeper than any model that is read here; guards the stack.
const MAX_DEEP: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    pub keyword: String,
    pub argument: String,
    pub line: usize,
    pub within: Vec<Statement>,
}

impl Statement {
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.within.iter().filter(move |inner| inner.keyword == keyword)
    }

    pub fn one(&self, keyword: &str) -> Option<&Statement> {
        self.within.iter().find(|inner| inner.keyword == keyword)
    }

    /// The argument of the one substatement of that name.
    pub fn word(&self, keyword: &str) -> Option<&str> {
        self.one(keyword).map(|inner| inner.argument.as_str())
    }

    pub fn fault(&self, what: &str) -> String {
        format!("line {}: {} {}: {what}", self.line, self.keyword, self.argument)
    }
}

/// Reads the one module that the text holds.
pub fn read(text: &str) -> Result<Statement, String> {
    let mut parser = Parser::new(text.to_string());
    let module = statement(&mut parser, 0)?.ok_or("no statement")?;
    if module.keyword != "module" {
        return Err(module.fault("a module is wanted"));
    }
    match statement(&mut parser, 0)? {
        None => Ok(module),
        Some(more) => Err(more.fault("stands behind the module")),
    }
}

fn token(parser: &mut Parser) -> Result<Token, String> {
    let found = parser.get_token();
    found.map_err(|what| format!("line {}: {what}", parser.line() + 1))
}

/// The next statement; none at the end of a block or of the text.
fn statement(parser: &mut Parser, depth: usize) -> Result<Option<Statement>, String> {
    let odd = |parser: &Parser, token: &Token| format!("line {}: unexpected {token:?}", parser.line() + 1);
    let keyword = match token(parser)? {
        Token::Identifier(word) => word,
        Token::BlockEnd if depth > 0 => return Ok(None),
        Token::EndOfInput if depth == 0 => return Ok(None),
        other => return Err(odd(parser, &other)),
    };
    let line = parser.line() + 1;
    if depth >= MAX_DEEP {
        return Err(format!("line {line}: too deep"));
    }
    let mut argument = String::new();
    let mut end = token(parser)?;
    if let Token::Identifier(word) | Token::QuotedString(word) = end {
        argument = word;
        end = token(parser)?;
    }
    let mut within = Vec::new();
    match end {
        Token::StatementEnd => {}
        Token::BlockBegin => {
            while let Some(inner) = statement(parser, depth + 1)? {
                within.push(inner);
            }
        }
        other => return Err(odd(parser, &other)),
    }
    Ok(Some(Statement { keyword, argument, line, within }))
}
