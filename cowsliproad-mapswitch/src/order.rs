//! How a group changes its map where its engines only take orders.
//!
//! Such engines don't vote: they obey, don't compare maps, and may carry an
//! order out seconds after it went unanswered. What they do say truthfully
//! is their own state. So a change goes by reports alone, and an order
//! without an answer counts as neither done nor undone:
//!
//! 1. *prepare*: every rank copies what is new to it, until all report so;
//! 2. *hold*: one rank, the holder, is told to stop the group before the
//!    boundary step, until it reports so;
//! 3. *arm*: every rank is told to change at the boundary, until **all**
//!    report so, the coordinator's own rank last. The hold is what makes a
//!    late or lost order harmless: the group stands until it is made good;
//! 4. *go*: the hold is released. As the boundary lies some passes ahead, a
//!    group without trouble never stands.
//!
//! An *arm* that nobody reports may still be carried out, so with all ranks
//! in reach a change is completed forward, or ended by the group forming
//! anew, which clears everything. A hold that nobody accounts for, say a
//! late one, is released.
//!
//! A coordinator may freeze with the hold in place, and its VM with its rank
//! is out of reach then. So the holder is another rank, ordered from afar:
//! its own agent can release it. The successor may call the change off when
//! only the former coordinator is missing and its rank can't be armed. That
//! one arms last, and only once the holder's agent says that it has heard so
//! (the *seal*): while another rank is not armed, or the holder has heard no
//! seal and obeys the successor, it never will be. What is armed is disarmed
//! first; an *arm* without an answer forbids it, since it may yet land. A
//! change that the former coordinator had itself taken over is not called
//! off: its rank may have been armed by another's word. Without the seal a
//! coordinator that froze as the others armed kept its group for the 4 s
//! that its VM stood still.
//!
//! A [`Coordinator`] keeps nothing that it could not read from the reports,
//! so its successor goes on where it stopped. Each has a fencing number;
//! engines and agents refuse lower ones, so one that was frozen and wakes
//! does nothing.
//!
//! Weighed and not chosen: arming without a hold, far ahead (an order that
//! is lost and carried out late mixes maps); disarming when an *arm* is
//! overdue (the late one may land after it); a hold at every rank (each is
//! one more order that has to be released).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use crate::Version;
pub use coordinator::{
    Config, Coordinator, Event, MAX_BOUNDARY_LEAD, VERSIONS_PER_COORDINATOR,
};

mod coordinator;
pub mod fence;

/// A formation of a group. A new one starts with the first map and nothing
/// prepared, armed or held.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Epoch(pub u64);

/// The experts of every rank, by set and rank.
pub type Experts = Vec<Vec<Vec<u16>>>;

/// Whether a group takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum GroupState {
    /// It does.
    Open,
    /// A rank is missing.
    Broken,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Report {
    /// The formation that all else is of.
    pub epoch: Epoch,
    /// Its place.
    pub rank: u16,
    /// The ranks of its group.
    pub ranks: u16,
    /// Whether the group takes requests.
    pub standing: GroupState,
    /// The last pass that was begun.
    pub step: u64,
    /// The map in use.
    pub map: Version,
    /// The newest map whose experts it has.
    pub prepared: Option<Version>,
    /// The map that it will change to, and at which pass.
    pub armed: Option<(Version, u64)>,
    /// The pass that it keeps the group from beginning.
    pub held: Option<u64>,
}

impl Report {
    /// A rank of a group that has just formed.
    pub fn new(epoch: Epoch, rank: u16, ranks: u16) -> Report {
        Report {
            epoch,
            rank,
            ranks,
            standing: GroupState::Open,
            step: 0,
            map: Version(0),
            prepared: None,
            armed: None,
            held: None,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Copy what is new in this map.
    Prepare(Version, Arc<Experts>),
    /// Change to this map as this pass begins.
    Arm(Version, u64),
    /// Don't change to this map.
    Disarm(Version),
    /// Don't begin this pass.
    Hold(u64),
    /// Begin this pass.
    Go(u64),
}

/// What an engine said of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// Begun or done.
    Taken,
    /// It doesn't fit the engine's state.
    Unfit,
    /// A higher fencing number was seen.
    Fenced,
}

/// Whether an agent can vouch for what its reports don't show.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ArmOrders {
    /// Each *arm* that it gave was answered.
    Answered,
    /// One may still be carried out, or the agent began too lately to know.
    InDoubt,
}

/// What a rank's agent knows of the coordinator's own rank.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum SealStatus {
    /// It was not told that this rank arms.
    #[serde(rename = "Unheard")]
    NotReceived,
    /// It was told that this rank arms for this pass.
    #[serde(rename = "Heard")]
    Received(u64),
    /// The agent began too lately to know.
    Unknown,
}

/// Whose word a rank obeys.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObeyedCoordinator {
    /// This coordinator's, and no older one's any more.
    This,
    /// Perhaps another's: its agent has not heard of this coordinator.
    Another,
}

/// An engine's report and what is known beside it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Snapshot {
    /// The report.
    pub report: Report,
    /// The orders that it may not show yet.
    pub arms: ArmOrders,
    /// Whether its agent heard that the coordinator's rank arms.
    pub seal: SealStatus,
    /// Whose word it obeys.
    pub obeys: ObeyedCoordinator,
}

/// Which ranks a coordinator doesn't hear from.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MissingRanks {
    /// None.
    None,
    /// The one that led before with this fencing number, and no other.
    Predecessor(u64),
    /// Any other.
    Others,
}

/// What all ranks are to bring about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Aim {
    /// Nothing.
    Rest,
    /// All have the experts of this map.
    Prepared(Version),
    /// A rank keeps the group from beginning this pass. The coordinator
    /// orders it from afar.
    Held {
        /// The pass.
        step: u64,
        /// The rank.
        holder: u16,
    },
    /// All change to this map at this pass, but for one rank as yet.
    Armed {
        /// The map.
        version: Version,
        /// The pass.
        step: u64,
        /// The coordinator's rank, until all others are armed.
        except: Option<u16>,
    },
    /// As before, and the coordinator's rank is the next to arm: whoever
    /// hears this says so.
    Sealed {
        /// The map.
        version: Version,
        /// The pass.
        step: u64,
        /// The coordinator's rank.
        except: u16,
    },
    /// None is to change.
    Disarmed,
    /// No rank keeps the group from beginning this pass.
    Released(u64),
}

/// The coordinator's word to all agents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Directive {
    /// The coordinator's fencing number.
    pub fence: u64,
    /// The formation that it is for.
    pub epoch: Epoch,
    /// What is to be brought about.
    pub aim: Aim,
}

/// What an agent has to order of its own engine, given what the engine last
/// reported. Called again after each report, so that a lost order is
/// repeated and a fulfilled one is not.
pub fn next_order(
    directive: &Directive,
    report: &Report,
    plan: Option<(Version, &Arc<Experts>)>,
) -> Option<Order> {
    if directive.epoch != report.epoch {
        return None;
    }
    match directive.aim {
        Aim::Rest => None,
        Aim::Prepared(version) => {
            let has = report.prepared == Some(version);
            let fits = report.armed.is_none() && report.map < version;
            let (known, experts) = plan?;
            (!has && fits && known == version)
                .then(|| Order::Prepare(version, experts.clone()))
        }
        Aim::Held { .. } => None,
        Aim::Armed { version, step, except } => {
            arm(report, version, step, except)
        }
        Aim::Sealed { version, step, except } => {
            arm(report, version, step, Some(except))
        }
        Aim::Disarmed => report.armed.map(|it| Order::Disarm(it.0)),
        Aim::Released(step) => {
            (report.held == Some(step)).then_some(Order::Go(step))
        }
    }
}

fn arm(
    report: &Report,
    version: Version,
    step: u64,
    except: Option<u16>,
) -> Option<Order> {
    let due = report.armed != Some((version, step))
        && report.map < version
        && report.step < step
        && except != Some(report.rank);
    due.then_some(Order::Arm(version, step))
}

/// The pass for which a coordinator's word says that its own rank arms.
pub fn sealed_step(directive: &Directive) -> Option<u64> {
    match directive.aim {
        Aim::Sealed { step, .. } => Some(step),
        Aim::Armed { step, except: None, .. } => Some(step),
        _ => None,
    }
}

/// What the coordinator has to order at the holder, from afar.
pub fn hold_order(directive: &Directive, report: &Report) -> Option<Order> {
    let Aim::Held { step, holder } = directive.aim else { return None };
    let due = report.rank == holder
        && report.epoch == directive.epoch
        && report.held != Some(step)
        && report.step < step;
    due.then_some(Order::Hold(step))
}
