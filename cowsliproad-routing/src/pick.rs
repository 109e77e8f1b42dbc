//! Which target a request goes to, from what an entry knows of each.
//!
//! The cost of a target is the time that a request is expected to take
//! there: its usual time, longer the more requests it has for each slot, and
//! longer by its recent failures. A target is never shut out for good: its
//! failures fade with [`FADING`], the best of bad ones is still used, and one
//! whose usual time is longer than that of others is measured again by one
//! request now and then; see [`Usual::alone`].
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

/// The weight of a new time in the average of a target's times, where the
/// average is new too.
const WEIGHT: f64 = 0.2;

/// The time in which the average loses half of its own weight.
const USUAL_FADING: Millis = Millis(2_500);

/// What measuring a slow target again may cost callers, as a share of the
/// time.
const MEASURING_SHARE: f64 = 0.01;

/// The longest time without a measurement.
const MAX_MEASURING_INTERVAL: Millis = Millis(120_000);

/// The most requests that a target is believed to have. Ours have some ten
/// slots and queue a few more.
const MAX_REQUESTS: u32 = 10_000;

/// For so long a report of a target's load holds: agents renew theirs twice
/// in it.
const REPORT_TTL: Millis = Millis(1_000);

/// The time in which the requests of an older report become half as many.
const REPORT_FADING: Millis = Millis(500);

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
    /// When a request there last ended well or badly.
    measured: Millis,
    failures: f64,
    faded: Millis,
    reported: u32,
    reported_at: Millis,
    sent: u32,
    done: u32,
    in_flight: u32,
}

impl Record {
    /// A target that nothing is known of.
    pub fn new() -> Record {
        Record {
            usual_ms: 0.0,
            measured: Millis(0),
            failures: 0.0,
            faded: Millis(0),
            reported: 0,
            reported_at: Millis(0),
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

    /// Takes a load report in, unless no target could have so many.
    pub fn report(&mut self, requests: u32, now: Millis) {
        if requests > MAX_REQUESTS {
            return;
        }
        self.reported = requests;
        self.reported_at = now;
        self.sent = 0;
        self.done = 0;
    }

    /// Notes a good answer and the time that it took.
    pub fn success(&mut self, took: Millis, now: Millis) {
        self.fade(now);
        self.failures *= 0.5;
        let took = took.0 as f64;
        let age = now.since(self.measured).0 as f64 / USUAL_FADING.0 as f64;
        let weight = 1.0 - (1.0 - WEIGHT) * 0.5_f64.powf(age);
        self.usual_ms = match self.usual_ms {
            0.0 => took,
            usual => usual + (took - usual) * weight,
        };
        self.measured = now;
    }

    /// Notes a failure.
    pub fn failure(&mut self, now: Millis) {
        self.fade(now);
        self.failures += 1.0;
        self.measured = now;
    }

    /// The usual time of its answers in milliseconds, once there was one.
    pub fn usual_ms(&self) -> Option<f64> {
        (self.usual_ms > 0.0).then_some(self.usual_ms)
    }

    /// Requests there, as far as this entry can tell.
    pub fn occupancy(&self, now: Millis) -> u32 {
        let known = self.lasting(now).saturating_add(self.sent);
        let known = known.saturating_sub(self.done);
        known.max(self.in_flight)
    }

    /// What is left of the last report. Where no agent renews it, it comes
    /// with answers alone: a target that looked busy would get none, and so
    /// look busy for good.
    fn lasting(&self, now: Millis) -> u32 {
        let age = now.since(self.reported_at);
        if age <= REPORT_TTL {
            return self.reported;
        }
        let over = (age - REPORT_TTL).0 as f64 / REPORT_FADING.0 as f64;
        (f64::from(self.reported) * 0.5_f64.powf(over)) as u32
    }

    /// Requests that this entry sent since the last report.
    pub fn unreported(&self) -> u32 {
        self.sent
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
    /// The usual time of an answer there, in milliseconds; see [`Usual`].
    pub usual_ms: f64,
}

/// The usual times of a service's targets.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    least: f64,
    mean: f64,
}

impl Usual {
    /// What the records of a service's targets say.
    pub fn new<'a>(records: impl Iterator<Item = &'a Record>) -> Usual {
        let (mut least, mut sum, mut count) = (f64::INFINITY, 0.0, 0.0);
        for time in records.filter_map(Record::usual_ms) {
            least = least.min(time);
            sum += time;
            count += 1.0;
        }
        if count == 0.0 {
            return Usual { least: UNKNOWN_MS, mean: UNKNOWN_MS };
        }
        Usual { least, mean: sum / count }
    }

    /// The usual time of a target that works by itself. One that never
    /// answered is taken for as quick as the quickest, so that it is tried.
    /// So is one that is due to be measured again, until a request is there:
    /// only requests tell that a slow target is quick by now.
    pub fn alone(&self, record: &Record, now: Millis) -> f64 {
        match record.usual_ms() {
            Some(usual) if !self.is_due(record, usual, now) => usual,
            _ => self.least,
        }
    }

    /// Whether a target was left alone for so long that one slow answer is a
    /// small share of the time.
    fn is_due(&self, record: &Record, usual: f64, now: Millis) -> bool {
        let interval = (usual - self.least) / MEASURING_SHARE;
        let interval = interval.min(MAX_MEASURING_INTERVAL.0 as f64);
        let age = now.since(record.measured).0 as f64;
        record.in_flight == 0 && age > interval
    }

    /// The usual time of a rank of a group. All ranks go in step, so what one
    /// of them took longer was the length of its answers.
    pub fn in_step(&self) -> f64 {
        self.mean
    }
}

/// Where a target is, seen from an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// In the same availability zone.
    Near,
    /// In another one.
    Far,
}

/// Chooses among targets whose costs are known to several entries alike.
///
/// All entries hear the same reports. If each sent to the least cost, all
/// would send to the same targets until the next report. So each chooses as
/// if all were to fill the targets up evenly: with `unseen` requests that
/// others send before the next reports, a target gets as many of them as it
/// lies below the level that they fill up to, and so often it is drawn.
///
/// `step` is what one more request adds to a target's cost, and `draw` is a
/// random number from 0 to 1. Returns the place of the chosen cost.
pub fn spread(
    costs: &[f64],
    step: f64,
    unseen: f64,
    draw: f64,
) -> Option<usize> {
    let mut order: Vec<usize> = (0..costs.len()).collect();
    order.sort_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let (mut sum, mut level, mut count) = (0.0, 0.0, 0);
    for place in &order {
        if count > 0 && costs[*place] >= level {
            break;
        }
        sum += costs[*place];
        count += 1;
        level = (sum + step * (unseen + 1.0)) / f64::from(count);
    }
    let below = &order[..count as usize];
    let total: f64 = below.iter().map(|it| level - costs[*it]).sum();
    let mut left = draw * total;
    for place in below {
        left -= level - costs[*place];
        if left < 0.0 {
            return Some(*place);
        }
    }
    below.last().copied()
}

/// The cost of a target, in milliseconds.
pub fn cost(candidate: &Candidate, now: Millis) -> f64 {
    let record = candidate.record;
    let usual =
        candidate.usual_ms.max(1.0) * f64::from(candidate.pace.max(1)) / 100.0;
    let ahead = f64::from(record.occupancy(now));
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
