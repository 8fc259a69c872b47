//! Ends of runs that a worker drops before its agent has read them.

use lavendergauge_lib::batch::ends::Gap;
use lavendergauge_lib::batch::ends::Reader;
use lavendergauge_lib::batch::job::Task;
use lavendergauge_lib::batch::report::End;
use lavendergauge_lib::batch::report::Ending;

fn end(number: u64) -> End {
    let task = Task::parse("00000000000000f1.0.0.0").unwrap();
    let checkpoint = String::new();
    End { number, task, run: 1, ending: Ending::Done, how: "done".into(), checkpoint }
}

#[test]
fn missed_ends() {
    let mut reader = Reader::new(7);
    assert_eq!(reader.read(7, &[end(1)], true), None);
    assert_eq!(reader.read(7, &[end(1), end(2)], true), None);
    assert_eq!(reader.read(7, &[], true), None);
    assert_eq!(reader.read(7, &[end(5), end(6)], true), Some(Gap { after: 2, before: 5 }));
    assert_eq!(reader.read(7, &[end(5), end(6), end(7)], true), None, "reported once");
}

#[test]
fn new_process() {
    // What the agent's earlier process has read is not known.
    let mut reader = Reader::default();
    assert_eq!(reader.read(7, &[end(23)], true), None);
    assert_eq!(reader.read(7, &[end(25)], true).map(Gap::missed), Some(1));
}

#[test]
fn new_incarnation() {
    let mut reader = Reader::new(7);
    assert_eq!(reader.read(7, &[end(1), end(2), end(3)], true), None);
    reader = Reader::new(8);
    assert_eq!(reader.read(8, &[end(1)], true), None, "numbers start anew");
    assert_eq!(reader.read(9, &[end(4)], true), None);
}

#[test]
fn unreadable_end() {
    let mut reader = Reader::new(7);
    assert_eq!(reader.read(7, &[end(2)], false), None, "the first may be listed, but not readable");
}
