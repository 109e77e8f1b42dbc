//! Which target a request goes to, from what an entry knows of each.
//!
//! The cost of a target is the time that a request is expected to take
//! there: its usual time, longer the more requests it has for each slot, and
//! longer by its recent failures. A target is never shut out for good: its
//! failures fade with [`FADING`], and the best of bad ones is still used.
//!
//! Requests at a target are the last report, corrected by what this entry
//! sent and got back since. Two entries that see the same report would
//! otherwise both send to the target that looked idle.

use cowsliproad_kernel::clock::Millis;

/// The time in which a target's failures lose half of their weight. Targets
/// that fail part of their requests do so for some seconds; a longer memory
/// keeps well ones out of use, a shorter one probes the bad ones more often.
const FADING: Millis = Millis(2_500);

/// What one recent failure adds to the cost, as a share of the usual time.
const FAILURE: f64 = 3.0;

/// The weight of a new time in the average of a target's times.
const WEIGHT: f64 = 0.2;

/// What another availability zone adds, in milliseconds: its way there and
/// back, and what its bytes are charged.
const FAR_MS: f64 = 4.0;

/// The time taken for usual while no target of a service has answered, in
/// milliseconds. It is large beside what another availability zone adds, so
/// that a starting entry spreads its requests over all of them.
pub const UNKNOWN_MS: f64 = 100.0;

/// How a target has fared with this entry.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    usual_ms: f64,
    failures: f64,
    faded: Millis,
    reported: u32,
    sent: u32,
    done: u32,
    in_flight: u32,
}

impl Record {
    /// A target that nothing is known of.
    pub fn new() -> Record {
        Record {
            usual_ms: 0.0,
            failures: 0.0,
            faded: Millis(0),
            reported: 0,
            sent: 0,
            done: 0,
            in_flight: 0,
        }
    }

    /// Notes a request on its way.
    pub fn start(&mut self) {
        self.in_flight += 1;
        self.sent += 1;
    }

    /// Notes that a request is no longer there.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.done += 1;
    }

    /// Takes a load report in.
    pub fn report(&mut self, requests: u32) {
        self.reported = requests;
        self.sent = 0;
        self.done = 0;
    }

    /// Notes a good answer and the time that it took.
    pub fn success(&mut self, took: Millis, now: Millis) {
        self.fade(now);
        self.failures *= 0.5;
        let took = took.0 as f64;
        self.usual_ms = match self.usual_ms {
            0.0 => took,
            usual => usual + (took - usual) * WEIGHT,
        };
    }

    /// Notes a failure.
    pub fn failure(&mut self, now: Millis) {
        self.fade(now);
        self.failures += 1.0;
    }

    /// The usual time of its answers in milliseconds, once there was one.
    pub fn usual_ms(&self) -> Option<f64> {
        (self.usual_ms > 0.0).then_some(self.usual_ms)
    }

    /// Requests there, as far as this entry can tell.
    pub fn occupancy(&self) -> u32 {
        let known = (self.reported + self.sent).saturating_sub(self.done);
        known.max(self.in_flight)
    }

    /// Own requests there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Recent failures, faded.
    pub fn failures(&self, now: Millis) -> f64 {
        let age = now.since(self.faded).0 as f64 / FADING.0 as f64;
        self.failures * 0.5_f64.powf(age)
    }

    fn fade(&mut self, now: Millis) {
        self.failures = self.failures(now);
        self.faded = now;
    }
}

impl Default for Record {
    fn default() -> Record {
        Record::new()
    }
}

/// A target to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// How it fared.
    pub record: &'a Record,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Where it is.
    pub distance: Distance,
    /// How long its work takes, in percent of the usual.
    pub pace: u32,
    /// The time taken for usual before its first answer, in milliseconds:
    /// that of the quickest of its service, so that a new target is tried.
    pub guess_ms: f64,
}

/// Where a target is, seen from an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// In the same availability zone.
    Near,
    /// In another one.
    Far,
}

/// The cost of a target, in milliseconds.
pub fn cost(candidate: &Candidate, now: Millis) -> f64 {
    let record = candidate.record;
    let usual = match record.usual_ms {
        0.0 => candidate.guess_ms,
        known => known.max(1.0),
    };
    let usual = usual * f64::from(candidate.pace.max(1)) / 100.0;
    let ahead = f64::from(record.occupancy());
    let slots = f64::from(candidate.slots.max(1));
    // Requests in one batch slow one another down before its slots are full;
    // beyond them a request waits for one of the others to end.
    let sharing = usual * ahead / slots;
    let waiting = usual * (ahead + 1.0 - slots).max(0.0) / slots * 2.0;
    let failing = (usual + FAR_MS) * FAILURE * record.failures(now);
    let way = match candidate.distance {
        Distance::Near => 0.0,
        Distance::Far => FAR_MS,
    };
    usual + sharing + waiting + failing + way
}
