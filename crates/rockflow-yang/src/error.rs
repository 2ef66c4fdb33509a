//! Errors of modules, values, paths, JSON documents and edits.

use crate::path::Path;
use thiserror::Error;

/// A YANG module that can't be compiled.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ModelError {
    /// An error in one of the modules given.
    #[error("{module}: {source}")]
    Module {
        /// The module's name, as given to [`Schema::compile`](crate::Schema::compile).
        module: String,
        /// The error in the module.
        source: Box<ModelError>,
    },
    /// The text contains no statement.
    #[error("no statement")]
    Empty,
    /// The tokenizer rejects the text.
    #[error("line {line}: {message}")]
    Syntax {
        /// Line in the module's text, counted from 1.
        line: usize,
        /// The tokenizer's message.
        message: String,
    },
    /// A token that is not allowed at this position.
    #[error("line {line}: unexpected {token}")]
    UnexpectedToken {
        /// Line in the module's text, counted from 1.
        line: usize,
        /// The unexpected token, in debug form.
        token: String,
    },
    /// Statements are nested more deeply than the parser allows.
    #[error("line {line}: too deep")]
    TooDeep {
        /// Line in the module's text, counted from 1.
        line: usize,
    },
    /// More modules than a [`ModuleId`](crate::ModuleId) can number.
    #[error("too many modules")]
    TooManyModules,
    /// More nodes than a [`NodeId`](crate::NodeId) can number.
    #[error("too many nodes")]
    TooManyNodes,
    /// A statement that is invalid or not supported.
    #[error("line {line}: {keyword} {argument}: {problem}")]
    Statement {
        /// Line of the statement in the module's text, counted from 1.
        line: usize,
        /// The statement's keyword.
        keyword: String,
        /// The statement's argument; empty if it has none.
        argument: String,
        /// The problem with the statement.
        problem: StatementProblem,
    },
}

/// The problem with a statement of a module.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatementProblem {
    /// The outermost statement is not a `module`.
    #[error("a module is wanted")]
    NotAModule,
    /// A second statement follows the module.
    #[error("stands behind the module")]
    AfterModule,
    /// A required substatement is missing.
    #[error("no {0}")]
    Missing(&'static str),
    /// A substatement's argument is not a number.
    #[error("{0} is no number")]
    NotANumber(&'static str),
    /// An imported module was not compiled before this one.
    #[error("not known by then")]
    UnknownImport,
    /// A keyword that is not supported within an `augment`.
    #[error("not known within an augment")]
    UnknownInAugment,
    /// A keyword that is not supported at the top of a module.
    #[error("not known at the top")]
    UnknownAtTop,
    /// A keyword that is not supported within its parent statement.
    #[error("not known here")]
    UnknownHere,
    /// A step of the target path of an `augment` has no prefix.
    #[error("a step has no prefix")]
    StepWithoutPrefix,
    /// A prefix that no import declares.
    #[error("a prefix is not known")]
    UnknownPrefix,
    /// The target node of an `augment` does not exist.
    #[error("names nothing")]
    NoSuchTarget,
    /// A default value that the type does not allow.
    #[error("default {0}")]
    BadDefault(#[source] ValueError),
    /// A sibling has the same name.
    #[error("stands there already")]
    Duplicate,
    /// The `key` statement names a leaf that the list does not have.
    #[error("no such key")]
    NoSuchKey,
    /// A `typedef` that does not exist.
    #[error("no such type")]
    NoSuchType,
    /// A `length` that can't be parsed.
    #[error("a length can't be read")]
    BadLength,
    /// A `range` that can't be parsed.
    #[error("a range can't be read")]
    BadRange,
    /// A `pattern` that can't be compiled, with the message of the regular expression compiler.
    #[error("{0}")]
    BadPattern(String),
    /// A restricted enumeration has a name that its base type lacks.
    #[error("{0} is not of the type that this narrows")]
    NotInBaseType(String),
}

/// A text that is not a valid value of a leaf's type. The message describes the allowed values.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// A text that is too short or too long.
    #[error("must be {allowed} characters long")]
    Length {
        /// The allowed lengths in characters, as ranges.
        allowed: String,
    },
    /// A text with a control character other than tab, line feed and carriage return.
    #[error("holds a control character")]
    ControlCharacter,
    /// A text that does not match one of the type's patterns.
    #[error("must match {pattern}")]
    Pattern {
        /// The pattern, as written in the module.
        pattern: String,
    },
    /// Not a number, or a number outside of the built-in type.
    #[error("must be a number from {min} to {max}")]
    NotInType {
        /// The smallest number of the type.
        min: i128,
        /// The largest number of the type.
        max: i128,
    },
    /// Not a number, or a number outside of the type's ranges.
    #[error("must be a number in {allowed}")]
    NotInRange {
        /// The allowed ranges.
        allowed: String,
    },
    /// Not a decimal number, or one with too many fraction digits.
    #[error("must be a number with {digits} digits behind the point at most")]
    NotADecimal {
        /// Maximum number of digits after the decimal point.
        digits: u8,
    },
    /// Not a boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// Not a name of the enumeration.
    #[error("must be one of {allowed}")]
    NotInEnumeration {
        /// The allowed names, separated by commas.
        allowed: String,
    },
    /// Not a value of any member type of the union; one error for each member type.
    #[error("{}", .0.iter().map(ValueError::to_string).collect::<Vec<_>>().join(", or "))]
    NoUnionMember(Vec<ValueError>),
    /// A text for a leaf of type `empty`, which has no value.
    #[error("must be empty")]
    NotEmpty,
}

/// A text that is not a valid path or pattern of the model.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// Longer than [`MAX_TEXT`](crate::path::MAX_TEXT) bytes.
    #[error("the path is too long")]
    TooLong,
    /// More than [`MAX_STEPS`](crate::path::MAX_STEPS) steps.
    #[error("the path has too many steps")]
    TooManySteps,
    /// A step that does not begin with `/`.
    #[error("{path}: a step begins with /")]
    NoSlash {
        /// The whole path text.
        path: String,
    },
    /// A key predicate that can't be parsed.
    #[error("{path}: a key is odd")]
    BadPredicate {
        /// The whole path text.
        path: String,
    },
    /// A path of one instance that leaves keys of a list open.
    #[error("{path}: a list on the way has no key")]
    OpenKey {
        /// The whole path text.
        path: String,
    },
    /// The step names a module that does not exist.
    #[error("{step}: no such module")]
    NoSuchModule {
        /// The name of the step, with its module prefix if it has one.
        step: String,
    },
    /// The step names a node that does not exist.
    #[error("{step}: no such node")]
    NoSuchNode {
        /// The name of the step, with its module prefix if it has one.
        step: String,
    },
    /// The step names a key that the list does not have.
    #[error("{step}: {key} is no key of it")]
    NoSuchKey {
        /// The name of the step, with its module prefix if it has one.
        step: String,
        /// The key's name.
        key: String,
    },
    /// A key whose schema node is not a leaf.
    #[error("a key has no type")]
    KeyWithoutType,
    /// A key value that the key's type does not allow.
    #[error("{step}: {key} {source}")]
    KeyValue {
        /// The name of the step, with its module prefix if it has one.
        step: String,
        /// The key's name.
        key: String,
        /// The error of the value, which describes the allowed values.
        source: ValueError,
    },
    /// A leaf-list value that its type does not allow.
    #[error("{step}: {source}")]
    LeafListValue {
        /// The name of the step, with its module prefix if it has one.
        step: String,
        /// The error of the value, which describes the allowed values.
        source: ValueError,
    },
}

/// A JSON document that is not valid data of the model.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// An error in the value of a member.
    #[error("{name}: {source}")]
    Member {
        /// The member's name.
        name: String,
        /// The error in its value.
        source: Box<JsonError>,
    },
    /// A value that should be an object.
    #[error("an object is wanted")]
    NotAnObject,
    /// A value that should be an array.
    #[error("an array is wanted")]
    NotAnArray,
    /// A JSON value that can't be the value of a leaf, such as an object.
    #[error("a value is wanted")]
    NotAValue,
    /// The member's name has the prefix of a module that does not exist.
    #[error("no such module")]
    NoSuchModule,
    /// The schema has no node with the member's name.
    #[error("no such node")]
    NoSuchNode,
    /// A state node where only configuration is allowed.
    #[error("is state, which can't be written")]
    IsState,
    /// Two members name the same node.
    #[error("stands twice")]
    DuplicateMember,
    /// A leaf-list contains a value twice.
    #[error("a value stands twice")]
    DuplicateValue,
    /// A list contains two entries with the same keys.
    #[error("an entry stands twice")]
    DuplicateEntry,
    /// A list entry lacks one of its keys.
    #[error("the key {0} is missing")]
    MissingKey(String),
    /// A value that its type does not allow.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// A value in another JSON form than the one that RFC 7951 defines for its type.
    #[error("is not of the type's JSON form")]
    WrongForm,
}

/// The kind of an [`EditError`], which each management protocol maps to its own error codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditErrorKind {
    /// The node to be created already exists.
    Exists,
    /// A node that has to exist does not: one to be deleted, one that an edit asserts, or a mandatory one.
    Missing,
    /// The node is state or a list key, which can't be written.
    NotWritable,
    /// The value does not fit the node, or a list has too few or too many elements.
    BadValue,
}

/// An edit that was rejected, or a tree that violates a constraint of the model.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{message}")]
pub struct EditError {
    /// The kind of the error.
    pub kind: EditErrorKind,
    /// The node at which the error occurred.
    pub path: Path,
    /// The message that is shown to the operator.
    pub message: String,
}

impl EditError {
    pub(crate) fn new(kind: EditErrorKind, path: &Path, message: impl Into<String>) -> EditError {
        EditError { kind, path: path.clone(), message: message.into() }
    }
}
