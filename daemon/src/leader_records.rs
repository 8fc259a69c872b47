//! The planner's cache of the job records, and the conversion of a record into a submission.

use std::collections::HashMap;
use std::collections::HashSet;

use lavendergauge_lib::name::Name;
use lavendergauge_lib::planner::Submission;
use lavendergauge_lib::shape;
use lavendergauge_lib::shape::Assignment;
use lavendergauge_lib::shape::Assignments;
use lavendergauge_lib::shape::Shape;
use lavendergauge_lib::table::Class;
use lavendergauge_wire::job;
use lavendergauge_wire::job::Record;
use lavendergauge_wire::job::State;

use crate::record;

/// The newest known record of each job that has not ended, or ended a short while ago.
#[derive(Debug, Default)]
pub struct Cache {
    records: HashMap<Name, (Record, i64)>,
    /// Jobs that have been submitted to the planner.
    pub submitted: HashSet<Name>,
    /// Whether all records have been read at least once.
    pub is_complete: bool,
}

impl Cache {
    /// Stores a record, unless the known one is as new; `version` is its store revision.
    pub fn put(&mut self, record: Record, version: i64) {
        let name = Name::from(&record.id);
        if self.records.get(&name).is_none_or(|(_, known)| *known < version) {
            self.records.insert(name, (record, version));
        }
    }

    /// Returns a job's record.
    pub fn find(&self, job: &Name) -> Option<&Record> {
        self.records.get(job).map(|(record, _)| record)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Record)> {
        self.records.iter().map(|(name, (record, _))| (name, record))
    }

    /// Removes the records of ended jobs that the planner no longer knows.
    pub fn remove_ended(&mut self) {
        let submitted = &self.submitted;
        self.records.retain(|name, (record, _)| {
            submitted.contains(name) || !record::from_wire(record.state).is_final()
        });
    }

    /// Tells whether the end of an attempt is on record.
    ///
    /// The record of a job that is unknown here has been archived or removed, once all records have
    /// been read.
    pub fn is_end_recorded(&self, job: &Name, attempt: u32) -> bool {
        let Some(record) = self.find(job) else { return self.is_complete };
        record::from_wire(record.state).is_final()
            || attempt < record.attempt
            || (attempt == record.attempt && record.state == State::Waiting)
    }
}

/// Returns the assignments of a record's newest attempt.
pub fn assignments(record: &Record) -> Assignments {
    let seats = record.seats.iter();
    seats
        .map(|seat| Assignment {
            worker: Name::from(&seat.worker),
            accelerators: seat.accelerators.iter().copied().collect(),
        })
        .collect()
}

/// Converts a record for the planner; `assignments` are those of a live attempt, and empty without
/// one.
pub fn to_submission(record: &Record, assignments: Assignments) -> Submission {
    let spec = &record.spec;
    Submission {
        job: Name::from(&record.id),
        account: Name::from(&spec.account),
        shape: Shape {
            members: spec.members,
            accelerators: spec.accelerators,
            processors: spec.processors,
            memory_mb: spec.memory_mb,
            adjacency: match spec.adjacency {
                job::Adjacency::Worker => shape::Adjacency::Worker,
                job::Adjacency::Rack => shape::Adjacency::Rack,
                job::Adjacency::DataCentre => shape::Adjacency::DataCentre,
            },
        },
        class: match spec.class {
            job::Class::Urgent => Class::Urgent,
            job::Class::Ordinary => Class::Ordinary,
            job::Class::Patient => Class::Patient,
        },
        guarantee: (!spec.guarantee.is_empty()).then(|| Name::from(&spec.guarantee)),
        data_centres: spec.data_centres.iter().map(Name::from).collect(),
        checkpoints: spec.checkpoints,
        idempotent: spec.idempotent,
        declared_s: spec.declared_s,
        attempt: record.attempt,
        assignments,
    }
}
