//! What holds of a host where the board, operators and time disagree.

use rockflow::interface::Readiness::{self, Draining, Gone, Ready};
use rockflow_roster::{effective, Mark, Marks, Member, Roll, Says};
use std::time::Duration;
use test_case::test_case;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn mark(readiness: Readiness, until: Option<u64>) -> Mark {
    Mark { readiness, until: until.map(at), force: false }
}

#[test_case(None, Some(Draining), None; "marked and not listed")]
#[test_case(Some(Gone), Some(Draining), None; "left, with a mark")]
#[test_case(Some(Ready), None, Some((Ready, Says::Board)))]
#[test_case(Some(Ready), Some(Draining), Some((Draining, Says::Operator)))]
#[test_case(Some(Ready), Some(Gone), Some((Gone, Says::Operator)))]
#[test_case(Some(Draining), None, Some((Draining, Says::Board)))]
#[test_case(Some(Draining), Some(Draining), Some((Draining, Says::Both)))]
#[test_case(Some(Draining), Some(Gone), Some((Gone, Says::Operator)))]
fn the_more_careful_word_holds(
    told: Option<Readiness>,
    marked: Option<Readiness>,
    wanted: Option<(Readiness, Says)>,
) {
    let marked = marked.map(|readiness| mark(readiness, Some(10)));
    assert_eq!(effective(told, marked.as_ref(), at(9)), wanted);
    // From its time on the mark says nothing.
    let alone = told.filter(|told| *told != Gone).map(|told| (told, Says::Board));
    assert_eq!(effective(told, marked.as_ref(), at(10)), alone);
}

#[derive(Clone, Debug, PartialEq)]
struct Host(&'static str, Readiness, u32);

impl Member for Host {
    fn name(&self) -> &str {
        self.0
    }
    fn told(&self) -> Readiness {
        self.1
    }
    fn with(&self, readiness: Readiness) -> Self {
        Host(self.0, readiness, self.2)
    }
}

fn marks<const N: usize>(all: [(&str, Mark); N]) -> Marks {
    all.into_iter().map(|(name, mark)| (name.to_string(), mark)).collect()
}

#[test]
fn only_what_changes_is_told() {
    let mut roll = Roll::new(Marks::new());
    let all = vec![Host("c1", Ready, 1), Host("c2", Ready, 1)];
    assert_eq!(roll.tell(true, all.clone(), at(0)), all);
    assert_eq!(roll.tell(true, all.clone(), at(1)), []);
    assert_eq!(roll.mark(marks([("c1", mark(Draining, None))]), at(2)), [Host("c1", Draining, 1)]);
    // The whole list anew, or the same told again, takes no mark back.
    assert_eq!(roll.tell(true, all.clone(), at(3)), []);
    assert_eq!(roll.tell(false, vec![Host("c1", Ready, 1)], at(3)), []);
    // What else is new of the host comes through, under the mark.
    assert_eq!(roll.tell(false, vec![Host("c1", Ready, 2)], at(4)), [Host("c1", Draining, 2)]);
    assert_eq!(roll.mark(Marks::new(), at(5)), [Host("c1", Ready, 2)]);
    // One that the whole list leaves out is gone, once.
    assert_eq!(roll.tell(true, vec![Host("c2", Ready, 1)], at(6)), [Host("c1", Gone, 2)]);
    assert_eq!(roll.tell(true, vec![Host("c2", Ready, 1)], at(6)), []);
}

#[test]
fn a_mark_outlives_the_host_and_its_successor_inherits_nothing() {
    let mut roll = Roll::new(marks([("c1", mark(Draining, None))]));
    assert_eq!(roll.tell(true, vec![Host("c1", Ready, 1)], at(0)), [Host("c1", Draining, 1)]);
    // It leaves; one under another name comes at its address.
    let news = roll.tell(false, vec![Host("c1", Gone, 1), Host("c9", Ready, 1)], at(1));
    assert_eq!(news, [Host("c1", Gone, 1), Host("c9", Ready, 1)]);
    assert_eq!(roll.marks().len(), 1);
    // Under its own name it comes back marked.
    assert_eq!(roll.tell(false, vec![Host("c1", Ready, 3)], at(2)), [Host("c1", Draining, 3)]);
}

#[test]
fn a_mark_of_gone_takes_the_host_away_and_back() {
    let mut roll = Roll::new(Marks::new());
    roll.tell(true, vec![Host("c1", Ready, 1)], at(0));
    assert_eq!(roll.mark(marks([("c1", mark(Gone, None))]), at(1)), [Host("c1", Gone, 1)]);
    assert_eq!(roll.tell(false, vec![Host("c1", Draining, 1)], at(2)), []);
    assert_eq!(roll.mark(Marks::new(), at(3)), [Host("c1", Draining, 1)]);
}

#[test]
fn a_mark_expires_while_the_board_is_silent() {
    let mut roll = Roll::new(Marks::new());
    roll.tell(true, vec![Host("c1", Ready, 1), Host("c2", Draining, 1)], at(0));
    let both = marks([("c1", mark(Draining, Some(9))), ("c2", mark(Gone, Some(7)))]);
    assert_eq!(roll.mark(both, at(1)), [Host("c2", Gone, 1), Host("c1", Draining, 1)]);
    assert_eq!(roll.due(at(1)), Some(at(7)));
    assert_eq!(roll.tick(at(6)), []);
    // What the board last said holds again.
    assert_eq!(roll.tick(at(7)), [Host("c2", Draining, 1)]);
    assert_eq!(roll.due(at(7)), Some(at(9)));
    assert_eq!(roll.tick(at(9)), [Host("c1", Ready, 1)]);
    assert_eq!(roll.due(at(9)), None);
}
