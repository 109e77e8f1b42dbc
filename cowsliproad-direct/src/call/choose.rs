//! Which target a request goes to next, and the wait for one; see the parent
//! module.

use std::rc::Rc;

use cowsliproad_admission::{
    patience::{Asked, Start},
    quarantine::Standing,
};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::fleet::Target;
use http::Response;
use slog::info;
use tokio::time::sleep;

use super::{Call, Certainty, Draws, LAST_RANK};
use crate::{
    entry::{
        Choice, Entry,
        choose::{Asks, Shortage},
    },
    limits,
    reply::Body,
};

/// Places that a request asks for in vain before it goes where no limit is,
/// or is refused: a few of 3 ms each.
const MOST_TURNED_AWAY: usize = 3;

/// What is left of a caller's patience for the answer's way: 3 ms there, and
/// a VM that has used up its share of a tenth of a second.
const ANSWER_TIME: Millis = Millis(100);

impl Call {
    /// Chooses the next target, and waits for one if there is none.
    pub async fn next_target(
        &mut self,
        entry: &Rc<Entry>,
    ) -> Result<Choice, Response<Body>> {
        let wait = self.until.min(self.waits_since + self.wait(entry));
        loop {
            let (news, freed) =
                (entry.news.notified(), entry.freed.notified());
            let now = Millis::now();
            let standing = entry.quarantine.borrow_mut().admit(self.work, now);
            if let Standing::Refused(after) = standing {
                return Err(self.refuse(entry, after));
            }
            let ahead = self.share_of(wait.since(now));
            let shortage = match self.choose(entry, now, ahead) {
                Ok((choice, patience)) => {
                    match self.take(entry, choice, patience).await? {
                        Some(choice) => return Ok(choice),
                        None => continue,
                    }
                }
                Err(shortage) => shortage,
            };
            let patience = wait.since(now);
            let is_final =
                |it: &Shortage| it.by_limits_alone || patience.0 == 0;
            if let Some(shortage) = shortage.filter(is_final) {
                let after = shortage.until.since(now);
                return Err(self.turn_away(entry, after));
            }
            if patience.0 == 0 {
                return Err(self.give_up(entry, "no target can be used"));
            }
            // A place that is free now was asked for in vain.
            let free = shortage.map(|it| it.until.since(now));
            let free = free.filter(|it| it.0 > 0).unwrap_or(patience);
            tokio::select! {
                () = news => {}
                () = freed => {}
                () = sleep(free.min(patience).duration()) => {}
            }
        }
    }

    /// Takes a target that was chosen, with a place there if it names a limit;
    /// none if it has no place within `patience`.
    async fn take(
        &mut self,
        entry: &Rc<Entry>,
        mut choice: Choice,
        patience: Millis,
    ) -> Result<Option<Choice>, Response<Body>> {
        if let Start::Later(after) = self.start(entry, Millis::now()) {
            return Err(self.put_off(entry, after));
        }
        if !limits::place(entry, &mut choice, patience).await {
            self.turned_away += 1;
            return Ok(None);
        }
        let now = Millis::now();
        if self.next == Draws::Budget && !entry.spend_retry(&self.service, now)
        {
            choice.give_back();
            return Err(self.give_up(entry, "no retry is left"));
        }
        self.log_choice(entry, &choice, now);
        self.tries += 1;
        self.turned_away = 0;
        Ok(Some(choice))
    }

    /// Whether a stream that nothing has run of is still worth its start.
    fn start(&self, entry: &Entry, now: Millis) -> Start {
        let (Some(silence), Some(aim)) = (self.route.silence, self.route.aim)
        else {
            return Start::Now;
        };
        if self.certainty == Certainty::Unknown {
            return Start::Now;
        }
        let Call { arrived, visit, .. } = *self;
        let left = self.left();
        let asked = Asked { arrived, silence, aim, left, visit };
        asked.start(now, entry.draw())
    }

    /// How long the request may wait for a target to be usable. A caller of a
    /// stream that hears nothing for longer leaves and is lost; one that is
    /// answered just before comes back when it was told to.
    fn wait(&self, entry: &Entry) -> Millis {
        let silence = self.route.silence.map(|it| it - ANSWER_TIME);
        silence.unwrap_or(entry.settings().wait_ms)
    }

    /// The best target that the request may still be sent to, and how long it
    /// may wait for a place there: a new one while its route allows more, else
    /// one that was asked before; one that takes it now, else one that does so
    /// within `ahead`. Without one, what limits have to do with that.
    fn choose(
        &self,
        entry: &Entry,
        now: Millis,
        ahead: Millis,
    ) -> Result<(Choice, Millis), Option<Shortage>> {
        let look = |new: bool| {
            let fits = |it: &Target| self.sent.contains(&it.id) != new;
            entry.look(&self.service, now, fits)
        };
        let may_ask = self.turned_away < MOST_TURNED_AWAY;
        let asks = if may_ask { Asks::Now } else { Asks::Never };
        let more = self.sent.len() < self.route.attempts as usize;
        let first = look(more);
        if let Some(choice) = first.choose(asks, entry.draw()) {
            return Ok((choice, Millis(0)));
        }
        let before = more.then(|| look(false));
        let before = before.as_ref();
        let chosen = before.and_then(|it| it.choose(asks, entry.draw()));
        if let Some(choice) = chosen {
            return Ok((choice, Millis(0)));
        }
        if !may_ask || ahead == Millis(0) {
            return Err(first.shortage());
        }
        let asks = Asks::Ahead(ahead);
        let mut sights = [Some(&first), before].into_iter().flatten();
        let chosen = sights.find_map(|it| it.choose(asks, entry.draw()));
        chosen.map(|it| (it, ahead)).ok_or_else(|| first.shortage())
    }

    fn log_choice(&self, entry: &Entry, choice: &Choice, now: Millis) {
        let seat = choice.seat.borrow();
        let group = seat.group.as_ref();
        let age = group.map_or(-1, |it| now.since(it.heard).0 as i64);
        let word = seat.limit.word(now);
        info!(entry.log, "chosen"; "request" => &*self.id,
            "work" => %self.work,
            "target" => &*choice.target.id, "route" => &*self.route.name,
            "cost" => choice.cost as u64, "at_target" => seat.record.occupancy(now),
            "own" => seat.record.in_flight(), "report_age" => age,
            "limit" => choice.limit.map(|it| it.a_second()),
            "limit_age" => word.map(|it| it.age.0),
            "denied" => self.turned_away,
            "left" => self.left().0, "try" => self.tries + 1);
    }

    /// How far ahead a place may lie that it takes. Less urgent requests leave
    /// those that lie further ahead to more urgent ones.
    fn share_of(&self, patience: Millis) -> Millis {
        let ranks = u64::from(LAST_RANK) + 1;
        let rank = u64::from(self.urgency());
        Millis(patience.0 * (ranks - rank) / ranks)
    }
}
