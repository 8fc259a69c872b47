//! The single allocator of one worker's resources to gang members.
//!
//! The gate holds, arms, starts and stops members. It refuses commands of an older planner
//! epoch and of an older attempt of a job.

use std::collections::HashMap;
use std::time::Duration;

use lavendergauge_derive::token;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::clock::Millis;
use crate::gang::Capacity;
use crate::gang::Command;
use crate::gang::Effect;
use crate::gang::Hold;
use crate::gang::MemberId;
use crate::gang::Phase;
use crate::gang::Status;
use crate::gang::Step;
use crate::gang::Verdict;
use crate::gang_member::Action;
use crate::gang_member::Event;
use crate::gang_member::Member;
use crate::name::Name;

/// Time after its last update for which the fence of a job without members is kept.
const FENCE_RETENTION: Duration = Duration::from_secs(600);

/// The lowest attempt of a job whose commands are accepted.
#[token]
struct Fence {
    attempt: u32,
    renewed_at: Millis,
}

/// The single allocator of one worker's resources to gang members.
#[derive(Default)]
pub struct Gate {
    capacity: Capacity,
    epoch: u64,
    fences: HashMap<Name, Fence>,
    members: HashMap<MemberId, StateMachine<Member>>,
}

impl Gate {
    /// Creates a gate for a worker with the given resources.
    ///
    /// ```
    /// use lavendergauge_lib::gang::Capacity;
    /// use lavendergauge_lib::gang::Gate;
    /// let gate = Gate::new(Capacity { accelerators: 8, processors: 64, memory_mb: 1024 });
    /// assert_eq!(gate.epoch(), 0);
    /// ```
    pub fn new(capacity: Capacity) -> Self {
        Gate { capacity, ..Gate::default() }
    }

    /// Returns the highest planner epoch received.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::gang::Gate::default().epoch(), 0);
    /// ```
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Carries out one command; `has_permit` tells whether new work may start.
    ///
    /// Returns the reply and the calls to make to the worker runtime.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Capacity, Command, Gate, Hold, Step, Verdict};
    /// let mut gate = Gate::new(Capacity { accelerators: 1, ..Capacity::default() });
    /// let hold = Hold { accelerators: [0].into_iter().collect(), ..Hold::default() };
    /// let step = Step::Prepare { hold, lasts: Duration::from_secs(1) };
    /// let command = Command { epoch: 1, job: "j".into(), attempt: 1, member: 0, step };
    /// let (verdict, effects) = gate.command(Millis(0), &command, true);
    /// assert_eq!(verdict, Verdict::Done);
    /// assert!(effects.is_empty());
    /// ```
    pub fn command(
        &mut self,
        now: Millis,
        command: &Command,
        has_permit: bool,
    ) -> (Verdict, Vec<Effect>) {
        if command.epoch < self.epoch {
            return (Verdict::StaleEpoch, Vec::new());
        }
        self.epoch = command.epoch;
        let newest = self.fences.get(&command.job).map_or(0, |fence| fence.attempt);
        if command.attempt < newest {
            return (Verdict::StaleAttempt, Vec::new());
        }
        let member_id =
            MemberId { job: command.job.clone(), attempt: command.attempt, member: command.member };
        // Expires the member first, so that a late command cannot revive it.
        let mut effects = self.expire(now, &member_id);
        let (verdict, step_effects) = self.carry_out(now, member_id, &command.step, has_permit);
        effects.extend(step_effects);
        (verdict, effects)
    }

    fn carry_out(
        &mut self,
        now: Millis,
        member_id: MemberId,
        step: &Step,
        has_permit: bool,
    ) -> (Verdict, Vec<Effect>) {
        match step {
            Step::Prepare { hold, lasts } => {
                (self.prepare(now, member_id, hold, now + *lasts, has_permit), Vec::new())
            }
            Step::Arm | Step::Go { .. } if !has_permit => (Verdict::NoPermit, Vec::new()),
            Step::Arm => self.advance(&member_id, &Event::Arm, &[Phase::Armed, Phase::Running]),
            Step::Go { lease } => {
                self.advance(&member_id, &Event::Go(now + *lease), &[Phase::Running])
            }
            Step::Renew { lease } => {
                self.advance(&member_id, &Event::Renew(now + *lease), &[Phase::Running])
            }
            Step::Stop { notice } => self.stop(now, member_id, now + *notice),
        }
    }

    /// Ends a member whose hold, lease or notice period has expired.
    fn expire(&mut self, now: Millis, member_id: &MemberId) -> Vec<Effect> {
        let Some(member) = self.members.get_mut(member_id) else { return Vec::new() };
        let mut action = None;
        member.handle_with_context(&Event::Tick(now), &mut action);
        action.map(|action| to_effect(member_id, action)).into_iter().collect()
    }

    /// Stops a member; an unknown one is recorded as ended, so that it can never start.
    fn stop(&mut self, now: Millis, member_id: MemberId, until: Millis) -> (Verdict, Vec<Effect>) {
        self.fence(now, &member_id.job, member_id.attempt);
        let member = self
            .members
            .entry(member_id.clone())
            .or_insert_with(|| Member::new(Hold::default(), now).state_machine());
        let mut action = None;
        member.handle_with_context(&Event::Stop { now, until }, &mut action);
        (Verdict::Done, action.map(|action| to_effect(&member_id, action)).into_iter().collect())
    }

    /// Tells whether a start of the member was ever requested from the worker runtime.
    ///
    /// ```
    /// use lavendergauge_lib::gang::{Gate, MemberId};
    /// assert!(!Gate::default().has_started(&MemberId { job: "j".into(), attempt: 1, member: 0 }));
    /// ```
    pub fn has_started(&self, member_id: &MemberId) -> bool {
        self.members.get(member_id).is_some_and(|member| member.has_started())
    }

    /// Records that a member's checkpoint is saved, which ends its notice period.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Gate, MemberId};
    /// let member_id = MemberId { job: "j".into(), attempt: 1, member: 0 };
    /// assert!(Gate::default().finish_checkpoint(Millis(0), &member_id).is_empty());
    /// ```
    pub fn finish_checkpoint(&mut self, now: Millis, member_id: &MemberId) -> Vec<Effect> {
        let Some(member) = self.members.get_mut(member_id) else { return Vec::new() };
        let mut action = None;
        member.handle_with_context(&Event::CheckpointSaved(now), &mut action);
        action.map(|action| to_effect(member_id, action)).into_iter().collect()
    }

    /// Extends a member's lease to `until`, unless it has expired.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Gate, MemberId};
    /// let member_id = MemberId { job: "j".into(), attempt: 1, member: 0 };
    /// assert!(Gate::default().renew(Millis(0), &member_id, Millis(10)).is_empty());
    /// ```
    pub fn renew(&mut self, now: Millis, member_id: &MemberId, until: Millis) -> Vec<Effect> {
        let effects = self.expire(now, member_id);
        if let Some(member) = self.members.get_mut(member_id) {
            member.handle_with_context(&Event::Renew(until), &mut None);
        }
        effects
    }

    /// Refuses commands about attempts of a job before `attempt` from now on.
    fn fence(&mut self, now: Millis, job: &Name, attempt: u32) {
        let known = self.fences.get(job).map_or(0, |fence| fence.attempt);
        self.fences.insert(job.clone(), Fence { attempt: known.max(attempt), renewed_at: now });
    }

    fn prepare(
        &mut self,
        now: Millis,
        member_id: MemberId,
        hold: &Hold,
        until: Millis,
        has_permit: bool,
    ) -> Verdict {
        if let Some(member) = self.members.get(&member_id) {
            return match member.state().phase() {
                Phase::Ended => Verdict::StaleAttempt,
                _ if member.hold() == hold => Verdict::Done,
                _ => Verdict::Busy,
            };
        }
        if !has_permit {
            return Verdict::NoPermit;
        }
        if !self.can_hold(hold) {
            return Verdict::Busy;
        }
        self.fence(now, &member_id.job, member_id.attempt);
        let member = Member::new(hold.clone(), until);
        self.members.insert(member_id, member.state_machine());
        Verdict::Done
    }

    /// Tells whether the resources of a hold are free.
    fn can_hold(&self, hold: &Hold) -> bool {
        let mut free = self.capacity;
        let mut taken = Vec::new();
        for member in self.members.values().filter(|member| is_live(member)) {
            taken.extend_from_slice(&member.hold().accelerators);
            free.processors = free.processors.saturating_sub(member.hold().processors);
            free.memory_mb = free.memory_mb.saturating_sub(member.hold().memory_mb);
        }
        let is_free = |index: &u8| *index < free.accelerators && !taken.contains(index);
        hold.accelerators.iter().all(is_free)
            && hold.processors <= free.processors
            && hold.memory_mb <= free.memory_mb
    }

    /// Applies an event to a member; the command is done if the member is then in one of `goals`.
    fn advance(
        &mut self,
        member_id: &MemberId,
        event: &Event,
        goals: &[Phase],
    ) -> (Verdict, Vec<Effect>) {
        let Some(member) = self.members.get_mut(member_id) else {
            return (Verdict::UnknownTask, Vec::new());
        };
        let mut action = None;
        member.handle_with_context(event, &mut action);
        let done = goals.contains(&member.state().phase());
        let effects = action.map(|action| to_effect(member_id, action)).into_iter().collect();
        (if done { Verdict::Done } else { Verdict::UnknownTask }, effects)
    }

    /// Ends members whose hold, lease or notice period has expired, and drops old fences.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::Gate;
    /// assert!(Gate::default().tick(Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (member_id, member) in &mut self.members {
            let mut action = None;
            member.handle_with_context(&Event::Tick(now), &mut action);
            effects.extend(action.map(|action| to_effect(member_id, action)));
        }
        let members = &self.members;
        self.fences.retain(|job, fence| {
            now.since(fence.renewed_at) < FENCE_RETENTION
                || members.keys().any(|member_id| member_id.job == *job)
        });
        effects
    }

    /// Records that a member has ended at the worker runtime.
    ///
    /// ```
    /// use lavendergauge_lib::gang::{Gate, MemberId};
    /// Gate::default().exit(&MemberId { job: "j".into(), attempt: 1, member: 0 });
    /// ```
    pub fn exit(&mut self, member_id: &MemberId) {
        if let Some(member) = self.members.get_mut(member_id) {
            member.handle_with_context(&Event::Exit, &mut None);
        }
    }

    /// Forgets an ended member once its end is recorded; its attempt stays fenced.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Gate, MemberId};
    /// let member_id = MemberId { job: "j".into(), attempt: 1, member: 0 };
    /// Gate::default().forget(Millis(0), &member_id);
    /// ```
    pub fn forget(&mut self, now: Millis, member_id: &MemberId) {
        let ended = self.members.get(member_id).is_some_and(|member| !is_live(member));
        if ended {
            self.members.remove(member_id);
            self.fence(now, &member_id.job, member_id.attempt + 1);
        }
    }

    /// Returns the status of each member.
    ///
    /// ```
    /// assert!(lavendergauge_lib::gang::Gate::default().statuses().is_empty());
    /// ```
    pub fn statuses(&self) -> Vec<Status> {
        self.members
            .iter()
            .map(|(member_id, member)| Status {
                member_id: member_id.clone(),
                phase: member.state().phase(),
                hold: member.hold().clone(),
                until: member.until(),
                started: member.has_started(),
            })
            .collect()
    }
}

/// Tells whether a member still holds its resources.
fn is_live(member: &StateMachine<Member>) -> bool {
    member.state().phase() != Phase::Ended
}

/// Converts an action of a member into an effect that names the member.
fn to_effect(member_id: &MemberId, action: Action) -> Effect {
    match action {
        Action::Start => Effect::Start(member_id.clone()),
        Action::Checkpoint => Effect::Checkpoint(member_id.clone()),
        Action::Stop => Effect::Stop(member_id.clone()),
    }
}
