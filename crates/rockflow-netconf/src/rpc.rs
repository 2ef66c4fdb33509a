//! The operations: what an `<rpc>` holds, read strictly, asked of the desk, and the reply.

use crate::codec::{self, Notes};
use crate::filter;
use crate::monitoring::{self, Counts};
use crate::ns;
use crate::xml::{Element, Writer};
use rockflow_management::{
    CommitOptions, ConfigSource, Datastore, EditMode, ErrorOption, ErrorTag, ManagementError, SessionId,
    Trigger, DEFAULT_CONFIRM_TIMEOUT,
};
use rockflow_management_service::{ManagementService, SessionHandle};
use rockflow_yang::path::Loose;
use rockflow_yang::{data, Data, Fields, Kind, NodeId, Op, Path, Pattern, Scalar, Schema};
use std::sync::Arc;
use std::time::Duration;

/// What an operation leads to.
pub enum Reply {
    Ok,
    /// The content of the reply.
    Content(String),
    /// The session ends with this reply.
    Close,
    /// From now on events are sent.
    Events,
    /// From now on values are pushed; the reply names the subscription.
    Push {
        patterns: Vec<Pattern>,
        trigger: Trigger,
        updates_only: bool,
    },
    /// A subscription of this session ends.
    Unfollow(u64),
}

/// What all sessions share.
pub struct Server {
    pub desk: Arc<ManagementService>,
    pub counts: Counts,
    pub started: Duration,
}

fn missing(name: &str) -> ManagementError {
    ManagementError::new(ErrorTag::MissingElement, format!("{name} is missing")).with_element(name)
}

fn invalid(what: impl Into<String>) -> ManagementError {
    ManagementError::new(ErrorTag::InvalidValue, what)
}

/// The one datastore that an element such as `<target>` holds.
fn datastore(operation: &Element, name: &str) -> Result<Datastore, ManagementError> {
    let holder = operation.child(name).ok_or_else(|| missing(name))?;
    let inner = holder.children.first().ok_or_else(|| missing(name))?;
    match inner.name.as_str() {
        "running" => Ok(Datastore::Running),
        "candidate" => Ok(Datastore::Candidate),
        "startup" => Ok(Datastore::Startup),
        other => {
            let fault = ManagementError::new(
                ErrorTag::OperationNotSupported,
                format!("{other}: not a datastore here"),
            );
            Err(fault.with_element(other))
        }
    }
}

/// A datastore by its identity (RFC 8342); none: operational.
fn named_datastore(operation: &Element) -> Result<Option<Datastore>, ManagementError> {
    let name = operation.word("datastore").ok_or_else(|| missing("datastore"))?;
    match name.split_once(':').map_or(name, |(_, name)| name) {
        "running" | "intended" => Ok(Some(Datastore::Running)),
        "candidate" => Ok(Some(Datastore::Candidate)),
        "startup" => Ok(Some(Datastore::Startup)),
        "operational" => Ok(None),
        other => Err(invalid(format!("{other}: not a datastore here")).with_element("datastore")),
    }
}

fn default_operation(operation: &Element) -> Result<Op, ManagementError> {
    match operation.word("default-operation") {
        None | Some("merge") => Ok(Op::Merge),
        Some("replace") => Ok(Op::Replace),
        Some("none") => Ok(Op::Expect),
        Some(other) => {
            Err(invalid(format!("{other}: no default-operation")).with_element("default-operation"))
        }
    }
}

fn seconds(operation: &Element, name: &str) -> Result<Option<Duration>, ManagementError> {
    let Some(text) = operation.word(name) else { return Ok(None) };
    let number = text.parse::<u32>().ok().filter(|number| *number > 0);
    let number = number.ok_or_else(|| invalid(format!("{name}: {text:?} is no number of seconds")))?;
    Ok(Some(Duration::from_secs(number.into())))
}

/// Says of a part by its name whether it is wanted.
type Parts<'a> = Box<dyn Fn(&str) -> bool + 'a>;

enum Wanted {
    All,
    Subtree(Vec<Element>),
    Paths(Vec<Pattern>),
}

impl Wanted {
    /// `<filter>` of get and get-config.
    fn filter(schema: &Schema, operation: &Element) -> Result<Wanted, ManagementError> {
        let Some(filter) = operation.child("filter") else { return Ok(Wanted::All) };
        match filter.attribute(ns::BASE, "type").or_else(|| filter.attribute("", "type")) {
            None | Some("subtree") => Ok(Wanted::Subtree(filter.children.clone())),
            Some("xpath") => {
                let select = filter.attribute(ns::BASE, "select").or_else(|| filter.attribute("", "select"));
                let select = select.ok_or_else(|| {
                    ManagementError::new(ErrorTag::MissingAttribute, "select is missing")
                        .with_element("filter")
                })?;
                Ok(Wanted::Paths(filter::patterns(schema, select, &filter.prefixes)?))
            }
            Some(other) => {
                let message = format!("{other}: no type of filter");
                Err(ManagementError::new(ErrorTag::BadAttribute, message).with_element("filter"))
            }
        }
    }

    /// The filters of get-data and of subscriptions.
    fn named(
        schema: &Schema,
        operation: &Element,
        subtree: &str,
        xpath: &str,
    ) -> Result<Wanted, ManagementError> {
        if let Some(filter) = operation.child(subtree) {
            return Ok(Wanted::Subtree(filter.children.clone()));
        }
        match operation.child(xpath) {
            Some(filter) => Ok(Wanted::Paths(filter::patterns(schema, filter.text(), &filter.prefixes)?)),
            None => Ok(Wanted::All),
        }
    }

    fn select(&self, schema: &Schema, fields: Fields) -> Fields {
        match self {
            Wanted::All => fields,
            Wanted::Subtree(filter) => filter::subtree(schema, &fields, None, filter),
            Wanted::Paths(patterns) => filter::by_paths(&fields, patterns),
        }
    }

    /// As patterns, which is what followers go by.
    fn patterns(&self, schema: &Schema) -> Result<Vec<Pattern>, ManagementError> {
        match self {
            Wanted::All => Ok(vec![Pattern::default()]),
            Wanted::Paths(patterns) => Ok(patterns.clone()),
            Wanted::Subtree(filter) => {
                let mut found = Vec::new();
                below(schema, None, filter, &Pattern::default(), &mut found)?;
                Ok(found)
            }
        }
    }

    /// Whether a part of netconf-state is wanted; none: nothing of it.
    fn monitoring(&self) -> Option<Parts<'_>> {
        match self {
            Wanted::All => Some(Box::new(|_| true)),
            Wanted::Paths(_) => None,
            Wanted::Subtree(filter) => {
                let named = |element: &&Element| {
                    element.name == "netconf-state" && (element.ns.is_empty() || element.ns == ns::MONITORING)
                };
                let element = filter.iter().find(named)?;
                let all = element.children.is_empty();
                Some(Box::new(move |part| all || element.children.iter().any(|child| child.name == part)))
            }
        }
    }
}

fn below(
    schema: &Schema,
    parent: Option<NodeId>,
    filter: &[Element],
    at: &Pattern,
    found: &mut Vec<Pattern>,
) -> Result<(), ManagementError> {
    for element in filter {
        let module = schema.modules().iter().find(|module| module.namespace == element.ns);
        let name = match module {
            Some(module) => format!("{}:{}", module.name, element.name),
            None => element.name.clone(),
        };
        let above = parent.and_then(|_| at.0.last());
        let told = element.children.iter().filter(|child| !child.text().is_empty());
        let told: Vec<(&str, &str)> = told.map(|child| (child.name.as_str(), child.text())).collect();
        let step = Loose::read(schema, above, &name, told.iter().copied()).map_err(invalid)?;
        let mut here = at.clone();
        let node = step.node;
        here.0.push(step);
        let rest: Vec<Element> =
            element.children.iter().filter(|child| child.text().is_empty()).cloned().collect();
        if rest.is_empty() {
            found.push(here);
        } else {
            below(schema, Some(node), &rest, &here, found)?;
        }
        if found.len() > filter::MAX_PATHS {
            return Err(invalid(format!("more than {} paths", filter::MAX_PATHS)));
        }
    }
    Ok(())
}

/// What becomes of defaults (RFC 6243).
fn with_defaults(
    schema: &Schema,
    operation: &Element,
    fields: Fields,
) -> Result<(Fields, Notes), ManagementError> {
    match operation.word("with-defaults") {
        None | Some("explicit") => Ok((fields, Notes::default())),
        Some("report-all") => Ok((data::with_defaults(schema, &fields, true), Notes::default())),
        Some("report-all-tagged") => {
            let notes = Notes { tag_defaults: true, ..Notes::default() };
            Ok((data::with_defaults(schema, &fields, true), notes))
        }
        Some("trim") => Ok((data::without_defaults(schema, &fields), Notes::default())),
        Some(other) => Err(invalid(format!("{other}: no mode of defaults")).with_element("with-defaults")),
    }
}

impl Server {
    /// Carries one operation out.
    pub async fn call(
        &self,
        asker: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, Vec<ManagementError>> {
        let one = |fault: ManagementError| vec![fault];
        match (operation.ns.as_str(), operation.name.as_str()) {
            (ns::BASE, "edit-config") | (ns::NMDA, "edit-data") => self.edit(asker, operation).await,
            _ => self.plain(asker, operation).await.map_err(one),
        }
    }

    async fn plain(&self, asker: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
        let schema = self.desk.schema();
        match (operation.ns.as_str(), operation.name.as_str()) {
            (ns::BASE, "get") => {
                let wanted = Wanted::filter(schema, operation)?;
                self.content(asker, None, operation, wanted, "data", ns::BASE).await
            }
            (ns::BASE, "get-config") => {
                let which = datastore(operation, "source")?;
                let wanted = Wanted::filter(schema, operation)?;
                self.content(asker, Some(which), operation, wanted, "data", ns::BASE).await
            }
            (ns::NMDA, "get-data") => {
                let which = named_datastore(operation)?;
                let wanted = Wanted::named(schema, operation, "subtree-filter", "xpath-filter")?;
                self.content(asker, which, operation, wanted, "data", ns::NMDA).await
            }
            (ns::BASE, "copy-config") => {
                let to = datastore(operation, "target")?;
                let from = match operation.child("source").and_then(|source| source.child("config")) {
                    Some(config) => {
                        let fields = codec::read(schema, None, &config.children, &Path::default(), false)?;
                        ConfigSource::Inline(fields)
                    }
                    None => ConfigSource::Datastore(datastore(operation, "source")?),
                };
                asker.update(|all, _| all.copy_config(asker.id, from, to))?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "delete-config") => match datastore(operation, "target")? {
                Datastore::Startup => {
                    asker.update(|all, _| all.delete_startup(asker.id))?;
                    Ok(Reply::Ok)
                }
                other => Err(ManagementError::new(
                    ErrorTag::OperationNotSupported,
                    format!("{} can't be deleted", other.name()),
                )),
            },
            (ns::BASE, "lock") => {
                let which = datastore(operation, "target")?;
                asker.update(|all, now| all.lock(now, asker.id, which))?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "unlock") => {
                let which = datastore(operation, "target")?;
                asker.update(|all, _| all.unlock(asker.id, which))?;
                Ok(Reply::Ok)
            }
            (ns::PARTIAL_LOCK, "partial-lock") => {
                let mut patterns = Vec::new();
                for select in operation.children.iter().filter(|child| child.name == "select") {
                    patterns.extend(filter::patterns(schema, select.text(), &select.prefixes)?);
                }
                if patterns.is_empty() {
                    return Err(missing("select"));
                }
                let grant = asker.update(|all, _| all.partial_lock(asker.id, &patterns))?;
                let mut out = Writer::new();
                out.leaf("lock-id", &[("xmlns", ns::PARTIAL_LOCK)], &grant.id.to_string());
                for path in grant.nodes {
                    out.leaf("locked-node", &[("xmlns", ns::PARTIAL_LOCK)], &path.text(schema));
                }
                Ok(Reply::Content(out.finish()))
            }
            (ns::PARTIAL_LOCK, "partial-unlock") => {
                let lock = operation.word("lock-id").ok_or_else(|| missing("lock-id"))?;
                let lock = lock.parse().map_err(|_| invalid("lock-id is no number"))?;
                asker.update(|all, _| all.partial_unlock(asker.id, lock))?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "commit") => {
                let confirmed = operation.child("confirmed").is_some();
                let timeout = seconds(operation, "confirm-timeout")?;
                let confirm = CommitOptions {
                    confirm_timeout: confirmed.then(|| timeout.unwrap_or(DEFAULT_CONFIRM_TIMEOUT)),
                    persist: operation.word("persist").filter(|_| confirmed).map(str::to_string),
                    persist_id: operation.word("persist-id").map(str::to_string),
                };
                asker.commit(&confirm, "").await?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "cancel-commit") => {
                asker.cancel_commit(operation.word("persist-id")).await?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "discard-changes") => {
                asker.update(|all, _| all.discard_changes(asker.id))?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "validate") => {
                let which = match operation.child("source").and_then(|source| source.child("config")) {
                    Some(config) => {
                        let fields = codec::read(schema, None, &config.children, &Path::default(), false)?;
                        ConfigSource::Inline(fields)
                    }
                    None => ConfigSource::Datastore(datastore(operation, "source")?),
                };
                asker.validate(which).await?;
                Ok(Reply::Ok)
            }
            (ns::BASE, "close-session") => Ok(Reply::Close),
            (ns::BASE, "kill-session") => {
                let victim = operation.word("session-id").ok_or_else(|| missing("session-id"))?;
                let victim = victim.parse().map_err(|_| invalid("session-id is no number"))?;
                asker.kill_session(SessionId(victim)).await?;
                Ok(Reply::Ok)
            }
            (ns::MONITORING, "get-schema") => {
                asker.authorize_call("get-schema")?;
                let name = operation.word("identifier").ok_or_else(|| missing("identifier"))?;
                let version = operation.word("version").filter(|version| !version.is_empty());
                if operation.word("format").is_some_and(|format| !format.ends_with("yang")) {
                    return Err(invalid("only yang is served").with_element("format"));
                }
                let fits = |module: &&rockflow_yang::Module| {
                    module.name == name && version.is_none_or(|version| version == module.revision)
                };
                let module = schema.modules().iter().find(fits);
                let module = module.ok_or_else(|| invalid(format!("{name}: no such module")))?;
                let mut out = Writer::new();
                out.leaf("data", &[("xmlns", ns::MONITORING)], &module.text);
                Ok(Reply::Content(out.finish()))
            }
            (ns::NOTIFICATION, "create-subscription") => {
                asker.authorize_call("create-subscription")?;
                self.stream_only(operation)?;
                if operation.child("startTime").is_some() || operation.child("stopTime").is_some() {
                    return Err(invalid("there is no replay").with_element("startTime"));
                }
                Ok(Reply::Events)
            }
            (ns::SUBSCRIBED, "establish-subscription") => self.establish(asker, operation),
            (ns::SUBSCRIBED, "delete-subscription") => {
                let id = operation.word("id").ok_or_else(|| missing("id"))?;
                Ok(Reply::Unfollow(id.parse().map_err(|_| invalid("id is no number"))?))
            }
            (space, name) => self.modelled(asker, space, name, operation).await,
        }
    }

    fn stream_only(&self, operation: &Element) -> Result<(), ManagementError> {
        match operation.word("stream") {
            None | Some("NETCONF") => Ok(()),
            Some(other) => Err(invalid(format!("{other}: no such stream")).with_element("stream")),
        }
    }

    fn establish(&self, asker: &SessionHandle, operation: &Element) -> Result<Reply, ManagementError> {
        asker.authorize_call("establish-subscription")?;
        if operation.child("stream").is_some() {
            self.stream_only(operation)?;
            return Ok(Reply::Events);
        }
        named_datastore(operation)?;
        let schema = self.desk.schema();
        let wanted = Wanted::named(schema, operation, "datastore-subtree-filter", "datastore-xpath-filter")?;
        let patterns = wanted.patterns(schema)?;
        // Periods are told in hundredths of a second (RFC 8641, section 5).
        let span = |holder: &Element, name: &str| match holder.word(name) {
            None => Ok(None),
            Some(text) => match text.parse::<u32>() {
                Ok(hundredths) => Ok(Some(Duration::from_millis(u64::from(hundredths) * 10))),
                Err(_) => Err(invalid(format!("{name} is no number")).with_element(name)),
            },
        };
        let least = Duration::from_millis(100);
        if let Some(periodic) = operation.child("periodic") {
            let period = span(periodic, "period")?.ok_or_else(|| missing("period"))?;
            if period < least {
                let fault = invalid("the least period is 10 hundredths of a second");
                return Err(fault.with_app_tag("period-unsupported").with_element("period"));
            }
            let trigger = Trigger::Periodic { period, suppress: false, heartbeat: None };
            return Ok(Reply::Push { patterns, trigger, updates_only: false });
        }
        let on_change = operation.child("on-change").ok_or_else(|| missing("on-change"))?;
        let dampening = span(on_change, "dampening-period")?.unwrap_or_default();
        let updates_only = on_change.word("sync-on-start") == Some("false");
        let trigger = Trigger::OnChange { dampening, heartbeat: None };
        Ok(Reply::Push { patterns, trigger, updates_only })
    }

    async fn content(
        &self,
        asker: &SessionHandle,
        which: Option<Datastore>,
        operation: &Element,
        wanted: Wanted,
        name: &str,
        space: &str,
    ) -> Result<Reply, ManagementError> {
        let schema = self.desk.schema();
        let mut fields = asker.read(which).await?;
        match operation.word("config-filter") {
            Some("true") => {
                fields = data::prune(schema, &fields, &Path::default(), &|path| config(schema, path, true))
            }
            Some("false") => {
                fields = data::prune(schema, &fields, &Path::default(), &|path| config(schema, path, false))
            }
            _ => {}
        }
        let (fields, mut notes) = with_defaults(schema, operation, fields)?;
        notes.origin = operation.child("with-origin").is_some() && which.is_none();
        let found = wanted.select(schema, fields);
        let mut out = Writer::new();
        out.open(name, &[("xmlns", space)]);
        codec::write(schema, &found, None, notes, &mut out);
        if which.is_none() {
            if let Some(parts) = wanted.monitoring() {
                out.raw(&monitoring::netconf_state(&self.desk, &self.counts, self.started, &*parts));
            }
        }
        out.close(name);
        Ok(Reply::Content(out.finish()))
    }

    async fn edit(&self, asker: &SessionHandle, operation: &Element) -> Result<Reply, Vec<ManagementError>> {
        let one = |fault: ManagementError| vec![fault];
        let schema = self.desk.schema();
        let nmda = operation.ns == ns::NMDA;
        let target = if nmda {
            named_datastore(operation).and_then(|which| {
                which.ok_or_else(|| invalid("operational can't be written").with_element("datastore"))
            })
        } else {
            datastore(operation, "target")
        };
        let target = target.map_err(one)?;
        let default = default_operation(operation).map_err(one)?;
        let option = match operation.word("error-option") {
            None | Some("stop-on-error") => ErrorOption::Stop,
            Some("continue-on-error") => ErrorOption::Continue,
            Some("rollback-on-error") => ErrorOption::Rollback,
            Some(other) => return Err(vec![invalid(format!("{other}: no error-option"))]),
        };
        let option = if nmda { ErrorOption::Rollback } else { option };
        let (check, keep) = match operation.word("test-option") {
            None | Some("set") => (false, true),
            Some("test-then-set") => (true, true),
            Some("test-only") => (true, false),
            Some(other) => return Err(vec![invalid(format!("{other}: no test-option"))]),
        };
        let config = operation.child("config").ok_or_else(|| vec![missing("config")])?;
        let edits = codec::edits(schema, config, default).map_err(one)?;
        if check {
            // On a copy, so that what is refused leaves nothing behind.
            let tested = asker.update(|all, _| {
                all.edit_config(asker.id, target, &edits, ErrorOption::Rollback, EditMode::TestOnly)?;
                let mut fields = all.datastore(asker.id, target).clone();
                for edit in &edits {
                    data::apply(schema, &mut fields, edit).map_err(|fault| vec![fault.into()])?;
                }
                Ok::<_, Vec<ManagementError>>(fields)
            })?;
            asker.validate(ConfigSource::Inline(tested)).await.map_err(one)?;
        }
        if keep {
            asker.update(|all, _| all.edit_config(asker.id, target, &edits, option, EditMode::Apply))?;
        }
        Ok(Reply::Ok)
    }

    /// The model's own calls.
    async fn modelled(
        &self,
        asker: &SessionHandle,
        space: &str,
        name: &str,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        let schema = self.desk.schema();
        let call = schema.roots().iter().map(|id| schema.node(*id)).find(|node| {
            matches!(node.kind, Kind::Rpc)
                && node.name == name
                && schema.module(node.module).namespace == space
        });
        let Some(call) = call else {
            let message = format!("{name}: no such operation");
            return Err(ManagementError::new(ErrorTag::OperationNotSupported, message).with_element(name));
        };
        let input = schema.child(Some(call.id), None, "input");
        let told = codec::read(schema, input, &operation.children, &Path::default(), true)?;
        let child = |name: &str| input.and_then(|input| schema.child(Some(input), None, name));
        for id in input.map(|input| schema.node(input).children.clone()).unwrap_or_default() {
            if matches!(schema.node(id).kind, Kind::Leaf { mandatory: true, .. }) && !told.contains_key(&id) {
                return Err(missing(&schema.node(id).name));
            }
        }
        let value = |name: &str| child(name).and_then(|id| told.get(&id)).and_then(Data::scalar);
        let text = |name: &str| value(name).and_then(Scalar::as_text);
        let number = |name: &str| value(name).and_then(Scalar::as_u64);
        let host = text("host").unwrap_or_default();
        let version = match name {
            "drain" => {
                let force = value("force").and_then(Scalar::as_bool).unwrap_or(false);
                let span = number("expires-in").map(Duration::from_secs);
                asker.drain(host, text("reason"), span, force).await?
            }
            "undrain" => asker.undrain(host).await?,
            "rollback" => asker.rollback(number("version").unwrap_or_default(), number("expected")).await?,
            other => {
                let message = format!("{other}: not served");
                return Err(ManagementError::new(ErrorTag::OperationNotSupported, message));
            }
        };
        let mut out = Writer::new();
        out.leaf("version", &[("xmlns", space)], &version.to_string());
        Ok(Reply::Content(out.finish()))
    }
}

fn config(schema: &Schema, path: &Path, wanted: bool) -> bool {
    path.node().is_some_and(|node| schema.node(node).config == wanted)
}

/// `<rpc-error>`, one for each fault.
pub fn errors(schema: &Schema, faults: &[ManagementError]) -> String {
    let mut out = Writer::new();
    for fault in faults {
        let kind = match fault.tag {
            ErrorTag::MalformedMessage => "rpc",
            ErrorTag::MissingAttribute
            | ErrorTag::BadAttribute
            | ErrorTag::UnknownAttribute
            | ErrorTag::MissingElement
            | ErrorTag::BadElement
            | ErrorTag::UnknownElement
            | ErrorTag::UnknownNamespace
            | ErrorTag::LockDenied
            | ErrorTag::OperationNotSupported => "protocol",
            _ => "application",
        };
        out.open("rpc-error", &[]);
        out.leaf("error-type", &[], kind);
        out.leaf("error-tag", &[], fault.tag.name());
        out.leaf("error-severity", &[], "error");
        if let Some(tag) = fault.app_tag {
            out.leaf("error-app-tag", &[], tag);
        }
        if let Some(path) = &fault.path {
            out.leaf("error-path", &[], &path.text(schema));
        }
        out.leaf("error-message", &[("xml:lang", "en")], &fault.message);
        if fault.holder.is_some() || fault.element.is_some() {
            out.open("error-info", &[]);
            if let Some(holder) = fault.holder {
                out.leaf("session-id", &[], &holder.0.to_string());
            }
            if let Some(element) = &fault.element {
                out.leaf("bad-element", &[], element);
            }
            out.close("error-info");
        }
        out.close("rpc-error");
    }
    out.finish()
}
