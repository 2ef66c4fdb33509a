//! What can be wrong with a module, a value, a path, a JSON document or an edit.

use crate::path::Path;
use thiserror::Error;

/// A YANG module that can't be compiled.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ModelError {
    /// An error in one of the modules given.
    #[error("{module}: {source}")]
    Module {
        /// The name under which the module was given.
        module: String,
        /// What is wrong in it.
        source: Box<ModelError>,
    },
    /// The text holds no statement.
    #[error("no statement")]
    Empty,
    /// The tokenizer can't read the text.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line in the module's text, from 1.
        line: usize,
        /// The tokenizer's message.
        message: String,
    },
    /// A token where another one belongs.
    #[error("line {line}: unexpected {token}")]
    UnexpectedToken {
        /// Line in the module's text, from 1.
        line: usize,
        /// The token found.
        token: String,
    },
    /// Statements are nested too deeply.
    #[error("line {line}: statements are nested too deeply")]
    TooDeep {
        /// Line in the module's text, from 1.
        line: usize,
    },
    /// More modules than a [`ModuleId`](crate::ModuleId) can number.
    #[error("too many modules")]
    TooManyModules,
    /// More nodes than a [`NodeId`](crate::NodeId) can number.
    #[error("too many nodes")]
    TooManyNodes,
    /// A statement that is not understood.
    #[error("line {line}: {keyword} {argument}: {problem}")]
    Statement {
        /// Line of the statement in the module's text, from 1.
        line: usize,
        /// The statement's keyword.
        keyword: String,
        /// The statement's argument.
        argument: String,
        /// What is wrong with it.
        problem: StatementProblem,
    },
}

/// What is wrong with a statement of a module.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatementProblem {
    /// The text's outermost statement is no `module`.
    #[error("expected a module")]
    NotAModule,
    /// A second statement follows the module.
    #[error("unexpected statement after the module")]
    AfterModule,
    /// A required substatement is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// A substatement's argument is not a number.
    #[error("{0} is not a number")]
    NotANumber(&'static str),
    /// An imported module was not compiled before this one.
    #[error("imported module is not loaded yet")]
    UnknownImport,
    /// A keyword that is not supported within an `augment`.
    #[error("not supported in an augment")]
    UnknownInAugment,
    /// A keyword that is not supported at the top of a module.
    #[error("not supported at the top of a module")]
    UnknownAtTop,
    /// A keyword that is not supported in this place.
    #[error("not supported here")]
    UnknownHere,
    /// A step of an augment's target has no prefix.
    #[error("a step of the target has no prefix")]
    StepWithoutPrefix,
    /// A prefix that no import declares.
    #[error("unknown prefix")]
    UnknownPrefix,
    /// An augment's target does not exist.
    #[error("no such target node")]
    NoSuchTarget,
    /// A default that its type does not allow.
    #[error("default {0}")]
    BadDefault(#[source] ValueError),
    /// A sibling has the same name.
    #[error("a sibling has the same name")]
    Duplicate,
    /// `key` names a leaf that the list does not have.
    #[error("no such key")]
    NoSuchKey,
    /// A `typedef` that does not exist.
    #[error("no such type")]
    NoSuchType,
    /// A `length` that can't be parsed.
    #[error("invalid length")]
    BadLength,
    /// A `range` that can't be parsed.
    #[error("invalid range")]
    BadRange,
    /// A `pattern` that is no regular expression.
    #[error("{0}")]
    BadPattern(String),
    /// A restricted enumeration has a name that its base type lacks.
    #[error("{0} is not in the base enumeration")]
    NotInBaseType(String),
}

/// A text that is no value of a leaf's type. The message says what the type allows.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// Too short or too long.
    #[error("must be {allowed} characters long")]
    Length {
        /// The allowed lengths.
        allowed: String,
    },
    /// A control character other than tab and line ends.
    #[error("must not contain control characters")]
    ControlCharacter,
    /// Does not match one of the type's patterns.
    #[error("must match {pattern}")]
    Pattern {
        /// The pattern, as the module has it.
        pattern: String,
    },
    /// No number, or outside of what the built-in type holds.
    #[error("must be a number from {min} to {max}")]
    NotInType {
        /// The least number of the type.
        min: i128,
        /// The greatest number of the type.
        max: i128,
    },
    /// No number, or outside of the type's ranges.
    #[error("must be a number in {allowed}")]
    NotInRange {
        /// The allowed ranges.
        allowed: String,
    },
    /// No decimal number, or one with too many digits.
    #[error("must be a number with at most {digits} digits after the decimal point")]
    NotADecimal {
        /// Digits behind the decimal point.
        digits: u8,
    },
    /// No boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// No name of the enumeration.
    #[error("must be one of {allowed}")]
    NotInEnumeration {
        /// The names, separated by commas.
        allowed: String,
    },
    /// No value of any member of a union.
    #[error("{}", .0.iter().map(ValueError::to_string).collect::<Vec<_>>().join(", or "))]
    NoUnionMember(Vec<ValueError>),
    /// The type `empty` has no value.
    #[error("must be empty")]
    NotEmpty,
}

/// A text that is no path or pattern of the model.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// Longer than [`MAX_TEXT`](crate::path::MAX_TEXT) bytes.
    #[error("the path is too long")]
    TooLong,
    /// More than [`MAX_STEPS`](crate::path::MAX_STEPS) steps.
    #[error("the path has too many steps")]
    TooManySteps,
    /// A step that does not begin with `/`.
    #[error("{path}: a step must begin with /")]
    NoSlash {
        /// The whole text.
        path: String,
    },
    /// A key predicate that can't be parsed.
    #[error("{path}: malformed key predicate")]
    BadPredicate {
        /// The whole text.
        path: String,
    },
    /// A path that is to name one instance passes a list without naming the entry.
    #[error("{path}: a list in the path needs all its keys")]
    OpenKey {
        /// The whole text.
        path: String,
    },
    /// The step names a module that does not exist.
    #[error("{step}: no such module")]
    NoSuchModule {
        /// The step's name.
        step: String,
    },
    /// The step names a node that does not exist.
    #[error("{step}: no such node")]
    NoSuchNode {
        /// The step's name.
        step: String,
    },
    /// The step names a key that the list does not have.
    #[error("{step}: {key} is not a key of this list")]
    NoSuchKey {
        /// The step's name.
        step: String,
        /// The key's name.
        key: String,
    },
    /// A key whose node is no leaf.
    #[error("a key has no type")]
    KeyWithoutType,
    /// A key value that the key's type does not allow.
    #[error("{step}: {key} {source}")]
    KeyValue {
        /// The step's name.
        step: String,
        /// The key's name.
        key: String,
        /// What the type allows.
        source: ValueError,
    },
    /// A leaf-list value that its type does not allow.
    #[error("{step}: {source}")]
    LeafListValue {
        /// The step's name.
        step: String,
        /// What the type allows.
        source: ValueError,
    },
}

/// A JSON document that is no data of the model.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// An error in the value of a member.
    #[error("{name}: {source}")]
    Member {
        /// The member's name.
        name: String,
        /// What is wrong with its value.
        source: Box<JsonError>,
    },
    /// Something other than an object.
    #[error("expected an object")]
    NotAnObject,
    /// Something other than an array.
    #[error("expected an array")]
    NotAnArray,
    /// An object or an array in place of a leaf's value.
    #[error("expected a leaf value")]
    NotAValue,
    /// The member's name has the prefix of a module that does not exist.
    #[error("no such module")]
    NoSuchModule,
    /// The member's name is that of no node.
    #[error("no such node")]
    NoSuchNode,
    /// A state node where only configuration is allowed.
    #[error("is state, which can't be written")]
    IsState,
    /// Two members name the same node.
    #[error("duplicate member")]
    DuplicateMember,
    /// A leaf-list holds a value twice.
    #[error("duplicate value")]
    DuplicateValue,
    /// A list holds two entries with the same keys.
    #[error("duplicate list entry")]
    DuplicateEntry,
    /// A list entry lacks one of its keys.
    #[error("the key {0} is missing")]
    MissingKey(String),
    /// A value that its type does not allow.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// A value in another JSON form than RFC 7951 gives its type.
    #[error("is not in the JSON form of its type")]
    WrongForm,
}

/// The kinds of [`EditError`], which the protocols map to their error tags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditErrorKind {
    /// To be created, and already there.
    Exists,
    /// To be deleted or expected, and not there.
    Missing,
    /// State, or a list key, which can't be written.
    NotWritable,
    /// The node can't hold the value.
    BadValue,
}

/// An edit that was not carried out, or a tree that breaks a constraint of the model.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{message}")]
pub struct EditError {
    /// What kind of error it is.
    pub kind: EditErrorKind,
    /// The node that it is about.
    pub path: Path,
    /// The message for the operator.
    pub message: String,
}

impl EditError {
    pub(crate) fn new(kind: EditErrorKind, path: &Path, message: impl Into<String>) -> EditError {
        EditError { kind, path: path.clone(), message: message.into() }
    }
}
