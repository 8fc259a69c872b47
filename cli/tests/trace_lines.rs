//! The story of one job, from lines that a real run wrote.

use lavendergauge_cli::trace;

/// Lines of a fleet of the bench: a gang's member in doubt behind a worker that resets connections.
const LOG: &str = "\
   8.3365 front-muc-sued-1 time_ms=1791475399336 level=info event=placed task=6318550fc4de9799.0.0.2 run=1 worker=side-nbg-west-4 choices=63 near=true config=14
   8.3450 side-nbg-west-4 time_ms=1791475399345 level=info event=order verb=start task=6318550fc4de9799.0.0.2 run=1 incarnation=1791475380858 fence=2 outcome=no-answer
   8.3365 front-muc-sued-1 time_ms=1791475399335 level=info event=call method=POST host=bolo11.example path=/bacu251/6318550fc4de9799 status=200 outcome=ok config=14 config_age_ms=889 ms=7
   8.3366 front-muc-sued-1 time_ms=1791475399336 level=info event=placed task=6318550fc4de9799ff.0.0.2 run=1 worker=side-nbg-west-4
  12.2413 front-muc-sued-1 time_ms=1791475403241 level=info event=run-over task=6318550fc4de9799.0.0.2 run=1 cause=\"lease over\"
rubbish 6318550fc4de9799
";

#[test]
fn story_in_order() {
    let story = trace::story("6318550fc4de9799", &[("all".to_owned(), LOG.to_owned())]);
    let events: Vec<&str> = story.lines.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["call", "placed", "order", "run-over"]);
    assert_eq!(story.lines[2].source, "side-nbg-west-4");
}

#[test]
fn gap_named() {
    let story = trace::story("6318550fc4de9799", &[("all".to_owned(), LOG.to_owned())]);
    let text = story.text();
    assert!(text.contains("... nothing for 3896 ms"), "{text}");
    assert!(text.contains("+    3906 ms  front-muc-sued-1     run-over"), "{text}");
}

#[test]
fn many_files() {
    let line = |time: u64, event: &str| {
        format!("time_ms={time} level=info event={event} job=00000000000000a1\n")
    };
    let logs =
        [("entry-1".to_owned(), line(20, "job-ended")), ("entry-2".to_owned(), line(10, "call"))];
    let story = trace::story("00000000000000a1", &logs);
    let sources: Vec<&str> = story.lines.iter().map(|line| line.source.as_str()).collect();
    assert_eq!(sources, ["entry-2", "entry-1"]);
}
