//! What a successor does with a call that its owner left behind: a table by effect and by what may have begun. It says
//! what is allowed; whether and where an attempt goes is for the module of decisions, under its usual limits.

use crate::words::{Answer, Content, Ended, Kind};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Succession {
    /// There is an answer: it stands, and is given to who asks.
    Stands(Answer),
    /// Run it, as if it had come just now.
    Run,
    /// Run it only where the label's scope takes in every attempt that may have begun, and within the remembered time.
    RunUnderLabel,
    /// What it did is not known and must not be done twice: it ends as terminated.
    EndUnknown,
    /// Nobody waits and nothing can come of it twice: let it go.
    LetGo,
}

/// | effect | answered | nothing begun | an attempt may have begun |
/// | --- | --- | --- | --- |
/// | redoable, somebody waits | stands | run | run |
/// | redoable, nobody waits | stands | let go | let go |
/// | labelled | stands | run | run under the label |
/// | irreversible | stands | run | end as unknown |
///
/// Where there is no time left to run, what would be run is let go if nothing may have begun, else ended as unknown.
pub fn succession(kind: Kind, content: &Content, waited_for: bool, time_left: bool) -> Succession {
    if let Some((_, answer)) = &content.answer {
        return Succession::Stands(answer.clone());
    }
    let begun = !content.begun.is_empty();
    match (kind, begun) {
        (Kind::Redoable, _) if waited_for && time_left => Succession::Run,
        (Kind::Redoable, _) => Succession::LetGo,
        (_, false) if time_left => Succession::Run,
        (_, false) => Succession::LetGo,
        (Kind::Labelled, true) if time_left => Succession::RunUnderLabel,
        (Kind::Labelled | Kind::Irreversible, true) => Succession::EndUnknown,
    }
}

/// The answer that says that nothing is known.
pub fn unknown() -> Answer {
    Answer { ended: Ended::Terminated, tag: None, body: None }
}
