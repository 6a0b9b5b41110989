"""The shares of team quotas that are lent to domains, kept in a `KeyValueStore`.

There is one key per team, with a `lending.Need` for each domain, whose ``part`` is the
domain's share.  A domain updates its own entry by compare-and-swap, so it can raise its
share only by what is free at that moment.
"""

import asyncio

import msgspec

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import lending
from clementinebay.store.base import prefix_end

PREFIX = "quota/"
#: Minimum interval between two writes for one team, in seconds.
WRITE_SECONDS = 1.0
#: Interval at which the limits are recomputed while jobs change, in seconds.
REVIEW_SECONDS = 1.0
#: Maximum number of teams written by one adjustment.
MAX_CONCURRENT_WRITES = 2

log = Log("quotas")


class QuotaParts:
    """Adjusts the quota shares of ``domain``.

    ``limits`` are {team: amounts}, within which the scheduler binds tasks.  May be used
    only by the holder of the domain's leader lease, after `reset`.
    """

    def __init__(self, store, domain, clock):
        self.store = store
        self.domain = domain
        self.clock = clock
        self.reset()

    def reset(self):
        """Discard all state when this daemon becomes the domain's scheduler."""
        self.load_index = 0
        self.needs = {}
        self.versions = {}
        self.written_at = {}
        self.loaded = False
        self.revision = 0
        self.limits = {}
        self.pending_writes = {}
        # Per team, the smallest share among writes whose outcome is unknown.
        self.unconfirmed_shares = {}
        self.changes = 0
        self.reviewed_inputs = None
        self.reviewed_index = 0
        self.next_review_at = 0.0

    async def load(self, shard_log):
        """Read the needs of all teams and the end of the domain's log.

        No share is lowered until the log has advanced beyond that index.  An append by
        an earlier scheduler, which may rely on a larger share, can then no longer
        take effect.
        """
        await shard_log.catch_up()
        self.load_index = shard_log.state.index
        found, self.revision = await self.store.scan(PREFIX, prefix_end(PREFIX))
        self.update_needs(found)
        self.loaded = True

    async def follow(self):
        """Apply changes until the watch breaks; `adjust` then reloads all needs."""
        if not self.loaded:
            return
        try:
            end = prefix_end(PREFIX)
            async for entries, _revision in self.store.watch(
                PREFIX, end, self.revision
            ):
                self.update_needs(entries)
        finally:
            self.loaded = False

    def update_needs(self, entries):
        """Apply those of ``entries`` that are newer than the known versions."""
        self.changes += 1
        for entry in entries:
            team = entry.key.removeprefix(PREFIX)
            if entry.value and entry.version > self.versions.get(team, 0):
                self.versions[team] = entry.version
                self.unconfirmed_shares.pop(team, None)
                self.needs[team] = msgspec.json.decode(
                    entry.value, type=dict[str, lending.Need]
                )

    async def adjust(self, shard_log, totals, leaving=False):
        """Update shares and ``limits`` according to the state of ``shard_log``.

        ``totals`` are {team: amounts} of whole quotas.  With ``leaving``, waiting tasks
        do not count, since they will run in another domain.
        """
        if totals and not self.loaded:
            try:
                await self.load(shard_log)
            except (errors.PlatformError, errors.ShardError) as error:
                log.debug("Failed to read quota shares: %s.", error)
        self.review(shard_log.state, totals, leaving)
        latest = self.clock.now() - WRITE_SECONDS
        due = sorted(
            (at, team, need)
            for team, need in self.pending_writes.items()
            if (at := self.written_at.get(team, 0.0)) <= latest
        )
        await asyncio.gather(
            *(self.write(team, need) for _at, team, need in due[:MAX_CONCURRENT_WRITES])
        )
        self.review(shard_log.state, totals, leaving)

    def review(self, state, totals, leaving):
        """Recompute ``limits`` and ``pending_writes`` if their inputs have changed.

        Visiting all jobs is expensive, so this is skipped if nothing has changed, and
        done once in `REVIEW_SECONDS` if only jobs have.  The previous limits remain
        valid until this domain writes its share.
        """
        inputs = (self.load_index, self.changes, self.loaded, totals, leaving)
        if inputs == self.reviewed_inputs and (
            state.index == self.reviewed_index or self.clock.now() < self.next_review_at
        ):
            return
        self.reviewed_inputs = inputs
        self.reviewed_index = state.index
        self.next_review_at = self.clock.now() + REVIEW_SECONDS
        self.limits = {}
        self.pending_writes = {}
        for team, use in lending.team_usage(state, totals, leaving).items():
            needs, total = self.needs.get(team, {}), totals[team]
            old = needs.get(self.domain, lending.Need())
            new, usable = lending.next_need(self.domain, total, needs, use)
            if state.index <= self.load_index:
                new = msgspec.structs.replace(
                    new, part=tuple(map(max, old.part, new.part))
                )
            # Capacity that is about to be released must not be used for new tasks.
            usable = tuple(map(min, old.part, new.part, usable))
            if team in self.unconfirmed_shares:
                usable = tuple(map(min, usable, self.unconfirmed_shares[team]))
            self.limits[team] = lending.limit(total, usable)
            changed = lending.should_publish(self.domain, needs, new)
            if self.loaded and (changed or team in self.unconfirmed_shares):
                self.pending_writes[team] = new

    async def write(self, team, need):
        """Write this domain's need, unless another domain changed the team's key."""
        key, old = PREFIX + team, self.needs.get(team, {})
        needs = {**old, self.domain: need}
        version = self.versions.get(team, 0)
        self.written_at[team] = self.clock.now()
        # Until a response arrives, any attempted write may be in effect, so the share
        # counts as the smallest one attempted.
        smallest = self.unconfirmed_shares.get(team, need.part)
        self.unconfirmed_shares[team] = tuple(map(min, smallest, need.part))
        try:
            written = await self.store.swap(key, msgspec.json.encode(needs), version)
        except errors.CompareFailedError as failure:
            self.written_at.pop(team)
            if failure.entry is not None:
                self.update_needs([failure.entry])
        except errors.PlatformError as error:
            log.debug("Failed to write the quota share of team %s: %s.", team, error)
        else:
            self.versions[team], self.needs[team] = written, needs
            self.unconfirmed_shares.pop(team, None)
            self.changes += 1
