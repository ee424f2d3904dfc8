//! Load: an account that sends more than its quota allows, so that its requests compete for the units.

use crate::clock::Millis;

use super::ask::{Ask, Profile};
use super::delay::{Delay, MAX_DELAY};
use super::kinds::Kinds;
use super::returns::{Returns, Standing};
use super::room::Room;

/// Share of the allowance that is kept for the kinds of requests that go before the last one.
const KEPT_SHARE: f64 = 0.5;

/// Share of the allowance that has to be left for a request that comes back sooner than it was told to;
/// all others go before it.
const EARLY_SHARE: f64 = 0.7;

/// Share of the rate up to which a kind of request takes next to nothing from the others.
const NEGLIGIBLE_SHARE: f64 = 0.05;

/// Decides which requests of one account are granted while it is over its quota.
///
/// Each kind of request needs some units left in the bucket, the more the later it is in the order: the
/// bucket settles where the last kinds get what the others leave. A kind that would starve or hardly
/// takes any units, or a request that comes back when it was told to, needs none.
#[derive(Clone, Debug, Default)]
pub(super) struct Contention {
    kinds: Kinds,
    returns: Returns,
    /// Units of requests that were told to come back without a promise, and are not due yet.
    told_units: f64,
    updated: Millis,
}

impl Contention {
    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// Fails with the delay after which the request may come back.
    pub(super) fn decide(&mut self, ask: &Ask, room: &Room, now: Millis) -> Result<(), Delay> {
        let refilled = room.rate * (now - self.updated).as_f64() / 1_000.0;
        self.told_units = (self.told_units - refilled).max(0.0);
        self.updated = now;
        let ticket = ask.profile.and_then(|profile| profile.ticket);
        let standing = self.returns.standing(ticket, now);
        if let (Some(profile), Standing::New) = (&ask.profile, standing) {
            self.kinds.record_request(profile, ask.units, now);
        }
        let needed = self.needed(ask, standing, room, now);
        if room.units <= needed {
            let missing = needed - room.units;
            return Err(self.deny(ask, missing, standing, room, now));
        }
        if let Some(profile) = &ask.profile {
            self.kinds.record_grant(profile.kind);
        }
        self.returns.forget(ticket);
        Ok(())
    }

    /// Returns the units that have to be left for a request to be granted.
    fn needed(&mut self, ask: &Ask, standing: Standing, room: &Room, now: Millis) -> f64 {
        let kept = room.allowance * KEPT_SHARE;
        match (&ask.profile, standing) {
            (None, _) | (_, Standing::Promised) => 0.0,
            (_, Standing::Early) => room.allowance * EARLY_SHARE,
            (Some(profile), Standing::New) => {
                let expected = self.returns.expected_units(now).min(kept);
                self.rank(profile, room) * kept + expected
            }
        }
    }

    /// Returns the place of a request among all of the account, from 0 to 1; the first one for each of
    /// them while the account sends no more than its rate.
    fn rank(&self, profile: &Profile, room: &Room) -> f64 {
        let kind = profile.kind;
        let has_room = self.kinds.demand() <= room.rate;
        let is_negligible = self.kinds.demand_of(kind) <= room.rate * NEGLIGIBLE_SHARE;
        if has_room || is_negligible || self.kinds.is_starving(kind) {
            return 0.0;
        }
        self.kinds.rank(kind)
    }

    /// Returns when a denied request may come back: when room is kept for it, or else after all that
    /// were denied before it.
    fn deny(
        &mut self,
        ask: &Ask,
        missing: f64,
        standing: Standing,
        room: &Room,
        now: Millis,
    ) -> Delay {
        let profile = ask.profile.unwrap_or_default();
        let earliest = now + room.time_for(missing);
        let may_promise = standing == Standing::New && self.kinds.is_next(profile.kind);
        if let (true, Some(ticket)) = (may_promise, profile.ticket) {
            let latest = now + profile.patience;
            let kept = self
                .returns
                .promise(ticket, ask.units, room.rate, earliest, latest, now);
            if let Some(due) = kept {
                return Delay {
                    time: due - now,
                    is_promised: true,
                };
            }
        }
        let due = earliest.max(self.returns.promised_until()) + room.time_for(self.told_units);
        self.told_units += ask.units;
        let due = match profile.ticket {
            Some(ticket) => self.returns.remember_denied(ticket, due, now),
            None => due,
        };
        Delay {
            time: (due - now).min(MAX_DELAY),
            is_promised: false,
        }
    }
}
