//! Parses the text of a YANG module into a tree of statements (RFC 7950, section 6.3).
//!
//! The crate yang-rs supplies the tokenizer, which handles comments, quoting and string concatenation. Its typed
//! statements are not used, because version 0.1.1 treats enumerations, unions and leafrefs as unrestricted strings.

use crate::error::{ModelError, StatementProblem};
use yang_rs::parser::{Parser, Token};

/// Maximum nesting depth of statements; limits the recursion of the parser.
const MAX_DEPTH: usize = 32;

/// A statement with its substatements.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The keyword, such as `leaf` or `description`.
    pub keyword: String,
    /// The argument; empty for a statement without one.
    pub argument: String,
    /// Line in the module's text, counted from 1.
    pub line: usize,
    /// The nested statements, in the order of the module's text.
    pub substatements: Vec<Statement>,
}

impl Statement {
    /// All substatements with the given keyword.
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.substatements.iter().filter(move |inner| inner.keyword == keyword)
    }

    /// The first substatement with the given keyword.
    pub fn first(&self, keyword: &str) -> Option<&Statement> {
        self.substatements.iter().find(|inner| inner.keyword == keyword)
    }

    /// The argument of the first substatement with the given keyword.
    pub fn argument_of(&self, keyword: &str) -> Option<&str> {
        self.first(keyword).map(|inner| inner.argument.as_str())
    }

    /// An error at this statement, with its line, keyword and argument.
    pub fn error(&self, problem: StatementProblem) -> ModelError {
        let (keyword, argument) = (self.keyword.clone(), self.argument.clone());
        ModelError::Statement { line: self.line, keyword, argument, problem }
    }
}

/// Parses a text that contains exactly one module.
pub fn read(text: &str) -> Result<Statement, ModelError> {
    let mut parser = Parser::new(text.to_string());
    let module = read_statement(&mut parser, 0)?.ok_or(ModelError::Empty)?;
    if module.keyword != "module" {
        return Err(module.error(StatementProblem::NotAModule));
    }
    match read_statement(&mut parser, 0)? {
        None => Ok(module),
        Some(extra) => Err(extra.error(StatementProblem::AfterModule)),
    }
}

fn next_token(parser: &mut Parser) -> Result<Token, ModelError> {
    let token = parser.get_token();
    token.map_err(|error| ModelError::Syntax { line: parser.line() + 1, message: error.to_string() })
}

fn unexpected(parser: &Parser, token: &Token) -> ModelError {
    ModelError::UnexpectedToken { line: parser.line() + 1, token: format!("{token:?}") }
}

/// Reads the next statement; `None` at the end of the enclosing block or of the text.
fn read_statement(parser: &mut Parser, depth: usize) -> Result<Option<Statement>, ModelError> {
    let keyword = match next_token(parser)? {
        Token::Identifier(word) => word,
        Token::BlockEnd if depth > 0 => return Ok(None),
        Token::EndOfInput if depth == 0 => return Ok(None),
        other => return Err(unexpected(parser, &other)),
    };
    let line = parser.line() + 1;
    if depth >= MAX_DEPTH {
        return Err(ModelError::TooDeep { line });
    }
    let mut argument = String::new();
    let mut terminator = next_token(parser)?;
    if let Token::Identifier(word) | Token::QuotedString(word) = terminator {
        argument = word;
        terminator = next_token(parser)?;
    }
    let mut substatements = Vec::new();
    match terminator {
        Token::StatementEnd => {}
        Token::BlockBegin => {
            while let Some(inner) = read_statement(parser, depth + 1)? {
                substatements.push(inner);
            }
        }
        other => return Err(unexpected(parser, &other)),
    }
    Ok(Some(Statement { keyword, argument, line, substatements }))
}
