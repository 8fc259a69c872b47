//! The only giver of one worker's accelerators: holds, arms, runs and stops members under fences.

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
use crate::gang::Phase;
use crate::gang::Slot;
use crate::gang::Standing;
use crate::gang::Step;
use crate::gang::Verdict;
use crate::gang_member::Event;
use crate::gang_member::Member;
use crate::gang_member::Move;
use crate::name::Name;

/// Time for which an agent refuses the attempts before one that it has forgotten.
const FENCE: Duration = Duration::from_secs(600);

/// The lowest attempt of a job that is not refused.
#[token]
struct Fence {
    attempt: u32,
    since: Millis,
}

/// The only giver of one worker's accelerators.
#[derive(Default)]
pub struct Gate {
    capacity: Capacity,
    epoch: u64,
    fences: HashMap<Name, Fence>,
    members: HashMap<Slot, StateMachine<Member>>,
}

impl Gate {
    /// Makes a gate over a worker's capacity.
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

    /// Returns the highest planner epoch seen.
    ///
    /// ```
    /// assert_eq!(lavendergauge_lib::gang::Gate::default().epoch(), 0);
    /// ```
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Carries out one command; `open` tells whether new work may start.
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
        open: bool,
    ) -> (Verdict, Vec<Effect>) {
        if command.epoch < self.epoch {
            return (Verdict::StaleEpoch, Vec::new());
        }
        self.epoch = command.epoch;
        let newest = self.fences.get(&command.job).map_or(0, |fence| fence.attempt);
        if command.attempt < newest {
            return (Verdict::StaleAttempt, Vec::new());
        }
        let slot =
            Slot { job: command.job.clone(), attempt: command.attempt, member: command.member };
        // What has lapsed is over before a late command can revive it.
        let mut effects = self.lapse(now, &slot);
        let (verdict, more) = self.carry_out(now, slot, &command.step, open);
        effects.extend(more);
        (verdict, effects)
    }

    fn carry_out(
        &mut self,
        now: Millis,
        slot: Slot,
        step: &Step,
        open: bool,
    ) -> (Verdict, Vec<Effect>) {
        match step {
            Step::Prepare { hold, lasts } => {
                (self.prepare(now, slot, hold, now + *lasts, open), Vec::new())
            }
            Step::Arm | Step::Go { .. } if !open => (Verdict::NoPermit, Vec::new()),
            Step::Arm => self.advance(&slot, &Event::Arm, &[Phase::Armed, Phase::Running]),
            Step::Go { lease } => self.advance(&slot, &Event::Go(now + *lease), &[Phase::Running]),
            Step::Renew { lease } => {
                self.advance(&slot, &Event::Renew(now + *lease), &[Phase::Running])
            }
            Step::Stop { notice } => self.stop(now, slot, now + *notice),
        }
    }

    fn lapse(&mut self, now: Millis, slot: &Slot) -> Vec<Effect> {
        let Some(member) = self.members.get_mut(slot) else { return Vec::new() };
        let mut step = None;
        member.handle_with_context(&Event::Tick(now), &mut step);
        step.map(|step| effect(slot, step)).into_iter().collect()
    }

    /// Stops a member; one never seen is remembered as ended, so that it can never start.
    fn stop(&mut self, now: Millis, slot: Slot, until: Millis) -> (Verdict, Vec<Effect>) {
        self.fence(now, &slot.job, slot.attempt);
        let member = self
            .members
            .entry(slot.clone())
            .or_insert_with(|| Member::new(Hold::default(), now).state_machine());
        let mut step = None;
        member.handle_with_context(&Event::Stop { now, until }, &mut step);
        (Verdict::Done, step.map(|step| effect(&slot, step)).into_iter().collect())
    }

    /// Tells whether the worker runtime was ever asked to start a member.
    ///
    /// ```
    /// use lavendergauge_lib::gang::{Gate, Slot};
    /// assert!(!Gate::default().started(&Slot { job: "j".into(), attempt: 1, member: 0 }));
    /// ```
    pub fn started(&self, slot: &Slot) -> bool {
        self.members.get(slot).is_some_and(|member| member.started())
    }

    /// Takes in that a member's checkpoint is taken, which ends its notice.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Gate, Slot};
    /// let slot = Slot { job: "j".into(), attempt: 1, member: 0 };
    /// assert!(Gate::default().saved(Millis(0), &slot).is_empty());
    /// ```
    pub fn saved(&mut self, now: Millis, slot: &Slot) -> Vec<Effect> {
        let Some(member) = self.members.get_mut(slot) else { return Vec::new() };
        let mut step = None;
        member.handle_with_context(&Event::Saved(now), &mut step);
        step.map(|step| effect(slot, step)).into_iter().collect()
    }

    /// Extends a member's lease until a time, unless it has lapsed.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Gate, Slot};
    /// let slot = Slot { job: "j".into(), attempt: 1, member: 0 };
    /// assert!(Gate::default().renew(Millis(0), &slot, Millis(10)).is_empty());
    /// ```
    pub fn renew(&mut self, now: Millis, slot: &Slot, until: Millis) -> Vec<Effect> {
        let effects = self.lapse(now, slot);
        if let Some(member) = self.members.get_mut(slot) {
            member.handle_with_context(&Event::Renew(until), &mut None);
        }
        effects
    }

    fn fence(&mut self, now: Millis, job: &Name, attempt: u32) {
        let known = self.fences.get(job).map_or(0, |fence| fence.attempt);
        self.fences.insert(job.clone(), Fence { attempt: known.max(attempt), since: now });
    }

    fn prepare(
        &mut self,
        now: Millis,
        slot: Slot,
        hold: &Hold,
        until: Millis,
        open: bool,
    ) -> Verdict {
        if let Some(member) = self.members.get(&slot) {
            return match member.state().phase() {
                Phase::Ended => Verdict::StaleAttempt,
                _ if member.hold() == hold => Verdict::Done,
                _ => Verdict::Busy,
            };
        }
        if !open {
            return Verdict::NoPermit;
        }
        if !self.has_room(hold) {
            return Verdict::Busy;
        }
        self.fence(now, &slot.job, slot.attempt);
        let member = Member::new(hold.clone(), until);
        self.members.insert(slot, member.state_machine());
        Verdict::Done
    }

    fn has_room(&self, hold: &Hold) -> bool {
        let mut left = self.capacity;
        let mut taken = Vec::new();
        for member in self.members.values().filter(|member| live(member)) {
            taken.extend_from_slice(&member.hold().accelerators);
            left.processors = left.processors.saturating_sub(member.hold().processors);
            left.memory_mb = left.memory_mb.saturating_sub(member.hold().memory_mb);
        }
        let free = |index: &u8| *index < left.accelerators && !taken.contains(index);
        hold.accelerators.iter().all(free)
            && hold.processors <= left.processors
            && hold.memory_mb <= left.memory_mb
    }

    /// Hands an event to a member; it is done when the member is then in one of `goals`.
    fn advance(&mut self, slot: &Slot, event: &Event, goals: &[Phase]) -> (Verdict, Vec<Effect>) {
        let Some(member) = self.members.get_mut(slot) else {
            return (Verdict::UnknownTask, Vec::new());
        };
        let mut step = None;
        member.handle_with_context(event, &mut step);
        let done = goals.contains(&member.state().phase());
        let effects = step.map(|step| effect(slot, step)).into_iter().collect();
        (if done { Verdict::Done } else { Verdict::UnknownTask }, effects)
    }

    /// Ends what has outlived its hold, lease or notice.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::Gate;
    /// assert!(Gate::default().tick(Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (slot, member) in &mut self.members {
            let mut step = None;
            member.handle_with_context(&Event::Tick(now), &mut step);
            effects.extend(step.map(|step| effect(slot, step)));
        }
        let members = &self.members;
        self.fences.retain(|job, fence| {
            now.since(fence.since) < FENCE || members.keys().any(|slot| slot.job == *job)
        });
        effects
    }

    /// Takes in that the worker runtime has ended a member.
    ///
    /// ```
    /// use lavendergauge_lib::gang::{Gate, Slot};
    /// Gate::default().exit(&Slot { job: "j".into(), attempt: 1, member: 0 });
    /// ```
    pub fn exit(&mut self, slot: &Slot) {
        if let Some(member) = self.members.get_mut(slot) {
            member.handle_with_context(&Event::Exit, &mut None);
        }
    }

    /// Forgets an ended member, once its end is recorded; its attempt stays fenced.
    ///
    /// ```
    /// use lavendergauge_lib::clock::Millis;
    /// use lavendergauge_lib::gang::{Gate, Slot};
    /// let slot = Slot { job: "j".into(), attempt: 1, member: 0 };
    /// Gate::default().forget(Millis(0), &slot);
    /// ```
    pub fn forget(&mut self, now: Millis, slot: &Slot) {
        let ended = self.members.get(slot).is_some_and(|member| !live(member));
        if ended {
            self.members.remove(slot);
            self.fence(now, &slot.job, slot.attempt + 1);
        }
    }

    /// Returns where each member is.
    ///
    /// ```
    /// assert!(lavendergauge_lib::gang::Gate::default().standings().is_empty());
    /// ```
    pub fn standings(&self) -> Vec<Standing> {
        self.members
            .iter()
            .map(|(slot, member)| Standing {
                slot: slot.clone(),
                phase: member.state().phase(),
                hold: member.hold().clone(),
                until: member.until(),
                started: member.started(),
            })
            .collect()
    }
}

/// Tells whether a member still holds its accelerators.
fn live(member: &StateMachine<Member>) -> bool {
    member.state().phase() != Phase::Ended
}

/// Names the member that a move is for.
fn effect(slot: &Slot, step: Move) -> Effect {
    match step {
        Move::Start => Effect::Start(slot.clone()),
        Move::Checkpoint => Effect::Checkpoint(slot.clone()),
        Move::Stop => Effect::Stop(slot.clone()),
    }
}
