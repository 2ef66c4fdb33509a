//! A model check of all sequences of events, up to a depth, in a small cluster: two dispatchers that both try to own
//! one at-most-once request, and its replicas. Frames are lost, late, duplicated and reordered; an owner may pause at
//! any point, also between the permission to send and sending; replicas restart with empty memory. The model runs the
//! production state machines, not a reimplementation.

use rockflow_cluster::replica::WriteRequest;
use rockflow_cluster::{
    Answer, Ballot, ClusterConfig, EffectKind, Identity, Incarnation, MemberId, Message, Outcome,
    OwnedRequest, Phase, QuorumEvent, Replica, RequestDescriptor, RequestId,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const REQUEST: RequestId = RequestId(7);
const NOW: Duration = Duration::ZERO;

/// Names of the checked properties.
const NEVER_EXECUTED_TWICE: &str = "never executed twice";
const NEVER_TWO_ANSWERS: &str = "never two answers";
const EXECUTED_AND_ANSWERED: &str = "executed and answered";
/// The maximum number of actions in a random walk.
const MAX_WALK_ACTIONS: usize = 60;
/// The member id of the first dispatcher. The dispatchers are no members of the configured cluster.
const FIRST_DISPATCHER: u16 = 10;

/// A safety rule that the model breaks on purpose, to test that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Flaw {
    None,
    /// A replica that restarted with empty memory votes before it has recovered its records.
    VotesWithoutMemory,
    /// Votes of superseded incarnations still count.
    CountsSupersededVotes,
    /// A successor executes a request that may have executed already.
    RunsStartedAttempts,
    /// An attempt is sent before a majority has recorded it.
    SendsBeforeQuorum,
    /// An answer is given before a majority has recorded it.
    EarlyAnswer,
}

#[derive(Clone, Debug)]
struct World {
    config: ClusterConfig,
    flaw: Flaw,
    /// The maximum number of restarts of replicas.
    max_restarts: u8,
    /// The maximum number of takeovers that each dispatcher may begin.
    max_takeovers: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Dispatcher {
    owned: Option<OwnedRequest>,
    /// Whether it has a permission to send that it has not used yet.
    may_send: bool,
    waits_for_host: bool,
    takeovers: u8,
    /// The last ballot to which it lost the request.
    lost_to: Option<Ballot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<Replica>,
    identities: Vec<Identity>,
    restarts: u8,
    dispatchers: Vec<Dispatcher>,
    /// Every frame that was ever sent. Each may arrive at any time, and more than once.
    frames: BTreeSet<Frame>,
    /// The number of times that a host has executed the request.
    executions: u8,
    /// The different final answers that were given.
    answers: BTreeSet<Answer>,
}

/// A message on its way. The order of the fields is the order in which random walks choose from the frames, so the
/// seeds of the tests depend on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Frame {
    sender: MemberId,
    to: MemberId,
    from: Identity,
    message: Message,
}

impl Frame {
    fn new(from: Identity, to: MemberId, message: Message) -> Frame {
        Frame { sender: from.member, to, from, message }
    }
}

/// A transition of the model. Dispatchers and replicas are given by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(Frame),
    /// Delivers a frame to a replica and its reply to the sender at once.
    DeliverAndReply(Frame),
    ClientRequest(usize),
    TakeOver(usize),
    Send(usize),
    HostAnswers(usize),
    Restart(usize),
}

fn descriptor() -> RequestDescriptor {
    RequestDescriptor { kind: EffectKind::AtMostOnce, class: 0, object: 1, part: 0, group: 0, size: 0 }
}

fn answer(outcome: Outcome) -> Answer {
    Answer { outcome, tag: None, body: None }
}

impl World {
    /// A cluster of three members, all of which are replicas of the request. The two dispatchers only send to them.
    fn new(flaw: Flaw, max_restarts: u8, max_takeovers: u8) -> World {
        let config = ClusterConfig {
            members: (0..3).map(|n| format!("n{n}")).collect(),
            replicas: 3,
            retention: Duration::from_secs(60),
            round_trip: Duration::from_millis(1),
            max_records: 10,
            max_body_bytes: 10,
        };
        World { config, flaw, max_restarts, max_takeovers }
    }

    fn dispatcher(&self, index: usize) -> Identity {
        Identity { member: MemberId(FIRST_DISPATCHER + index as u16), incarnation: Incarnation(1) }
    }

    fn is_replica(&self, member: MemberId) -> bool {
        usize::from(member.0) < self.config.members.len()
    }

    fn send_pending(&self, state: &mut State, index: usize) {
        let from = self.dispatcher(index);
        let owned = state.dispatchers[index].owned.iter();
        let pending: Vec<_> = owned.flat_map(|owned| owned.pending_messages(Duration::ZERO)).collect();
        state.frames.extend(pending.into_iter().map(|(to, message)| Frame::new(from, to, message)));
    }

    /// Handles a message at a replica and returns its replies.
    fn reply(&self, replica: &mut Replica, from: Identity, message: Message) -> Vec<Message> {
        let ids = self.config.replicas_of(REQUEST);
        match message {
            Message::Write { at, descriptor, progress, left } => {
                let write = WriteRequest { at, descriptor, progress: &progress, left };
                vec![replica.on_write(NOW, &ids, &write)]
            }
            Message::Prepare { at, descriptor } => vec![replica.on_prepare(NOW, &ids, at, descriptor)],
            Message::RequestStateTransfer { identity, number } => replica
                .prepare_state_transfer(NOW, &self.config, identity, number)
                .into_iter()
                .map(Message::StateTransfer)
                .collect(),
            Message::StateTransfer(transfer) => {
                replica.apply_state_transfer(NOW, from.member, transfer);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn receive_vote(&self, state: &mut State, index: usize, voter: Identity, message: &Message) {
        let dispatcher = &mut state.dispatchers[index];
        let Some(owned) = &mut dispatcher.owned else { return };
        let event = match message {
            Message::Vote { at, incarnations, held } => {
                let incarnations =
                    if self.flaw == Flaw::CountsSupersededVotes { &[][..] } else { incarnations };
                owned.on_vote(voter, *at, incarnations, held.as_ref())
            }
            Message::Reject { at, reason } => owned.on_rejection(voter, *at, reason),
            _ => None,
        };
        match event {
            Some(QuorumEvent::Owned(progress)) if progress.answer.is_some() => {
                owned.propose_answer(answer(Outcome::Failed))
            }
            Some(QuorumEvent::Owned(progress))
                if !progress.started_attempts.is_empty() && self.flaw != Flaw::RunsStartedAttempts =>
            {
                owned.propose_answer(answer(Outcome::Failed));
            }
            Some(QuorumEvent::Owned(_)) => {
                owned.propose_attempt(0, index as u64);
                dispatcher.may_send = self.flaw == Flaw::SendsBeforeQuorum;
            }
            Some(QuorumEvent::MaySend(_)) => dispatcher.may_send = true,
            Some(QuorumEvent::MayAnswer(answer)) => {
                state.answers.insert(answer);
            }
            Some(QuorumEvent::Lost(ballot)) => dispatcher.lost_to = Some(ballot),
            Some(QuorumEvent::RequestMismatch | QuorumEvent::QuorumUnavailable) | None => {}
        }
        self.send_pending(state, index);
    }
}

/// The index of the dispatcher with this member id.
fn dispatcher_index(member: MemberId) -> usize {
    usize::from(member.0 - FIRST_DISPATCHER)
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let identities: Vec<_> =
            self.config.ids().map(|member| Identity { member, incarnation: Incarnation(1) }).collect();
        vec![State {
            replicas: identities
                .iter()
                .map(|identity| Replica::of_new_cluster(&self.config, *identity, NOW))
                .collect(),
            identities,
            restarts: 0,
            dispatchers: vec![Dispatcher::default(); 2],
            frames: BTreeSet::new(),
            executions: 0,
            answers: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for frame in &state.frames {
            actions.push(Action::Deliver(frame.clone()));
            let needs_reply = matches!(frame.message, Message::Write { .. } | Message::Prepare { .. });
            if self.is_replica(frame.to) && needs_reply {
                actions.push(Action::DeliverAndReply(frame.clone()));
            }
        }
        for (index, dispatcher) in state.dispatchers.iter().enumerate() {
            let may_take_over = dispatcher.takeovers < self.max_takeovers;
            match &dispatcher.owned {
                None => {
                    actions.push(Action::ClientRequest(index));
                    if may_take_over {
                        actions.push(Action::TakeOver(index));
                    }
                }
                Some(owned) if matches!(owned.phase(), Phase::Lost(_)) && may_take_over => {
                    actions.push(Action::TakeOver(index));
                }
                Some(_) => {}
            }
            if dispatcher.may_send {
                actions.push(Action::Send(index));
            }
            if dispatcher.waits_for_host {
                actions.push(Action::HostAnswers(index));
            }
        }
        if state.restarts < self.max_restarts {
            actions.extend((0..state.replicas.len()).map(Action::Restart));
        }
    }

    fn next_state(&self, previous: &State, action: Action) -> Option<State> {
        let mut state = previous.clone();
        match action {
            Action::Deliver(Frame { from, to, message, .. }) if self.is_replica(to) => {
                let index = usize::from(to.0);
                let (replica, identity) = (&mut state.replicas[index], state.identities[index]);
                let replies = self.reply(replica, from, message).into_iter();
                let frames = replies.map(|message| Frame::new(identity, from.member, message));
                state.frames.extend(frames);
            }
            Action::DeliverAndReply(Frame { from, to, message, .. }) => {
                let identity = state.identities[usize::from(to.0)];
                let replies = self.reply(&mut state.replicas[usize::from(to.0)], from, message);
                for message in replies {
                    self.receive_vote(&mut state, dispatcher_index(from.member), identity, &message);
                    state.frames.insert(Frame::new(identity, from.member, message));
                }
            }
            Action::Deliver(Frame { from, to, message, .. }) => {
                self.receive_vote(&mut state, dispatcher_index(to), from, &message);
            }
            Action::ClientRequest(index) => {
                let mut owned =
                    OwnedRequest::first_owner(&self.config, REQUEST, descriptor(), self.dispatcher(index), 1);
                owned.propose_attempt(0, index as u64);
                state.dispatchers[index].owned = Some(owned);
                state.dispatchers[index].may_send = self.flaw == Flaw::SendsBeforeQuorum;
                self.send_pending(&mut state, index);
            }
            Action::TakeOver(index) => {
                let successor = self.dispatcher(index);
                let above = state.dispatchers[index].lost_to.unwrap_or(Ballot::first(successor, 0));
                let dispatcher = &mut state.dispatchers[index];
                dispatcher.takeovers += 1;
                let number = 1 + u64::from(dispatcher.takeovers);
                // An attempt that was permitted or sent under the lost ballot continues.
                let owned =
                    OwnedRequest::take_over(&self.config, REQUEST, descriptor(), successor, number, above);
                dispatcher.owned = Some(owned);
                self.send_pending(&mut state, index);
            }
            Action::Send(index) => {
                state.executions += 1;
                state.dispatchers[index].may_send = false;
                state.dispatchers[index].waits_for_host = true;
            }
            Action::HostAnswers(index) => {
                state.dispatchers[index].waits_for_host = false;
                let owned = state.dispatchers[index].owned.as_mut()?;
                if !matches!(owned.phase(), Phase::Owning) {
                    return Some(state);
                }
                owned.propose_answer(answer(Outcome::Succeeded));
                if self.flaw == Flaw::EarlyAnswer {
                    state.answers.insert(answer(Outcome::Succeeded));
                }
                self.send_pending(&mut state, index);
            }
            Action::Restart(index) => {
                state.restarts += 1;
                let identity = Identity {
                    incarnation: Incarnation(state.identities[index].incarnation.0 + 1),
                    ..state.identities[index]
                };
                state.identities[index] = identity;
                state.replicas[index] = match self.flaw {
                    Flaw::VotesWithoutMemory => Replica::of_new_cluster(&self.config, identity, NOW),
                    _ => Replica::new(&self.config, identity, NOW),
                };
                let others = self.config.ids().filter(|id| *id != identity.member);
                let message = Message::RequestStateTransfer { identity, number: 1 };
                let frames = others.map(|to| Frame::new(identity, to, message.clone()));
                state.frames.extend(frames);
            }
        }
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_EXECUTED_TWICE, |_, state: &State| state.executions < 2),
            Property::always(NEVER_TWO_ANSWERS, |_, state: &State| state.answers.len() < 2),
            // Guards against a model in which nothing ever happens.
            Property::sometimes(EXECUTED_AND_ANSWERED, |_, state: &State| {
                state.executions == 1 && state.answers.contains(&answer(Outcome::Succeeded))
            }),
            Property::sometimes("ended after a takeover", |_, state: &State| {
                state.answers.contains(&answer(Outcome::Failed))
            }),
        ]
    }
}

/// The result of checking all sequences of actions up to a depth.
struct CheckResult {
    /// The names of the `always` properties that are violated and of the `sometimes` properties that have an example.
    discoveries: BTreeSet<&'static str>,
    /// The number of different states that were reached.
    states: usize,
}

fn check(world: World, depth: usize) -> CheckResult {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = world.checker().threads(threads).target_max_depth(depth).spawn_bfs().join();
    let discoveries = checker.discoveries().into_keys().collect();
    CheckResult { discoveries, states: checker.unique_state_count() }
}

/// The number of actions by which `ROCKFLOW_DEEPER` extends the checked depth.
fn extra_depth() -> usize {
    std::env::var("ROCKFLOW_DEEPER").map_or(0, |text| text.parse().expect("a number"))
}

#[test_case(0, 1, 9; "a takeover")]
#[test_case(1, 1, 8; "a takeover, a replica that restarts")]
fn request_is_never_executed_twice_or_given_two_answers(restarts: u8, takeovers: u8, depth: usize) {
    let depth = depth + extra_depth();
    let CheckResult { discoveries, states } = check(World::new(Flaw::None, restarts, takeovers), depth);
    println!("{states} states to depth {depth}: {discoveries:?}");
    assert!(!discoveries.contains(NEVER_EXECUTED_TWICE), "{discoveries:?}");
    assert!(!discoveries.contains(NEVER_TWO_ANSWERS), "{discoveries:?}");
    assert!(discoveries.contains(EXECUTED_AND_ANSWERED) || depth < 9, "{discoveries:?}");
}

/// Guards against a check that passes because it checks nothing: breaking any safety rule must violate a property. The
/// rules on lost memory only fail after long sequences of actions, which random walks provide.
#[test_case(Flaw::RunsStartedAttempts, 0, 1)]
#[test_case(Flaw::SendsBeforeQuorum, 0, 1)]
#[test_case(Flaw::EarlyAnswer, 0, 1)]
#[test_case(Flaw::VotesWithoutMemory, 1, 1)]
#[test_case(Flaw::CountsSupersededVotes, 1, 61_000; "rare failure, so from a seed shortly before it")]
fn broken_safety_rule_is_detected(flaw: Flaw, restarts: u8, first_seed: u64) {
    let world = World::new(flaw, restarts, 1);
    let seed =
        (first_seed..first_seed + 1000).find(|seed| random_walk(&world, *seed).iter().any(violates_safety));
    println!("{flaw:?}: detected by the walk with seed {seed:?}");
    assert!(seed.is_some(), "{flaw:?}");
}

fn violates_safety(state: &State) -> bool {
    state.executions > 1 || state.answers.len() > 1
}

/// Sequences of actions that are too long to check all of them: several restarts, and takeovers of takeovers.
/// `ROCKFLOW_WALKS` sets the number of walks.
#[test_case(1, 1)]
#[test_case(2, 2)]
fn long_random_walks_violate_no_safety_rule(restarts: u8, takeovers: u8) {
    let walks = std::env::var("ROCKFLOW_WALKS").map_or(500, |text| text.parse().expect("a number"));
    let world = World::new(Flaw::None, restarts, takeovers);
    for seed in 1..=walks {
        let states = random_walk(&world, seed);
        assert!(!states.iter().any(violates_safety), "seed {seed}");
    }
    println!(
        "{walks} walks of {MAX_WALK_ACTIONS} actions, {restarts} restarts, {takeovers} takeovers each: no violation"
    );
}

/// Takes random actions and returns the states reached, in order.
fn random_walk(world: &World, seed: u64) -> Vec<State> {
    let mut rng = oorandom::Rand64::new(u128::from(seed));
    let (mut states, mut actions) = (world.init_states(), Vec::new());
    for _ in 0..MAX_WALK_ACTIONS {
        let state = states.last().expect("the initial state");
        actions.clear();
        world.actions(state, &mut actions);
        let action = actions.swap_remove(rng.rand_range(0..actions.len() as u64) as usize);
        states.extend(world.next_state(state, action));
    }
    states
}
