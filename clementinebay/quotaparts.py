"""The parts of teams' quotas that domains have, kept in a `KeyValueStore`.

There is one key a team.  A domain writes its own entry by compare-and-swap, so a part
is raised only by what was free at that moment.
"""

import asyncio

import msgspec

from clementinebay import errors
from clementinebay.log import Log
from clementinebay.policy import lending
from clementinebay.store.base import prefix_end

PREFIX = "quota/"
#: Time between two writes for one team, in seconds.
WRITE_SECONDS = 1.0
#: Time between two looks at all jobs while they change, in seconds.
REVIEW_SECONDS = 1.0
#: Most teams that one adjustment writes.
WRITES_AT_ONCE = 2

log = Log("quotas")


class QuotaParts:
    """Adjusts the parts of ``domain``; ``limits`` are {team: amounts} to bind within.

    Only who holds the domain's leader lease may use it, after `reset`.
    """

    def __init__(self, store, domain, clock):
        self.store = store
        self.domain = domain
        self.clock = clock
        self.reset()

    def reset(self):
        """Forget what was read, at the beginning of a time as scheduler."""
        self.index = 0
        self.needs = {}
        self.versions = {}
        self.written_at = {}
        self.loaded = False
        self.revision = 0
        self.limits = {}
        self.due = {}
        self.unsettled = {}
        self.changes = 0
        self.seen = None
        self.seen_index = 0
        self.review_at = 0.0

    async def load(self, shard_log):
        """Read the needs of all teams, and the end of the domain's log.

        Until the log has gone on from there no part is lowered, so an append of an
        earlier scheduler that was decided with a larger part cannot take effect.
        """
        await shard_log.catch_up()
        self.index = shard_log.state.index
        found, self.revision = await self.store.scan(PREFIX, prefix_end(PREFIX))
        self.take(found)
        self.loaded = True

    async def follow(self):
        """Take in changes until the watch breaks, then have all read again."""
        if not self.loaded:
            return
        try:
            end = prefix_end(PREFIX)
            async for entries, _revision in self.store.watch(
                PREFIX, end, self.revision
            ):
                self.take(entries)
        finally:
            self.loaded = False

    def take(self, entries):
        """Take in entries that are newer than what is known."""
        self.changes += 1
        for entry in entries:
            team = entry.key.removeprefix(PREFIX)
            if entry.value and entry.version > self.versions.get(team, 0):
                self.versions[team] = entry.version
                self.unsettled.pop(team, None)
                self.needs[team] = msgspec.json.decode(
                    entry.value, type=dict[str, lending.Need]
                )

    async def adjust(self, shard_log, totals, leaving=False):
        """Bring parts and ``limits`` up to date with the state of ``shard_log``.

        ``totals`` are {team: amounts} of whole quotas.  With ``leaving``, what waits
        will run elsewhere.
        """
        if totals and not self.loaded:
            try:
                await self.load(shard_log)
            except (errors.PlatformError, errors.ShardError) as error:
                log.debug("Cannot read the quotas: %s.", error)
        self.review(shard_log.state, totals, leaving)
        latest = self.clock.now() - WRITE_SECONDS
        due = sorted(
            (at, team, need)
            for team, need in self.due.items()
            if (at := self.written_at.get(team, 0.0)) <= latest
        )
        await asyncio.gather(
            *(self.write(team, need) for _at, team, need in due[:WRITES_AT_ONCE])
        )
        self.review(shard_log.state, totals, leaving)

    def review(self, state, totals, leaving):
        """Bring ``limits`` and the needs that are ``due`` up to date, if need be.

        A look at all jobs costs time, so one that would show the same is left out, and
        jobs that change are looked at now and then.  Old limits stay right until this
        domain writes its part.
        """
        seen = (self.index, self.changes, self.loaded, totals, leaving)
        if seen == self.seen and (
            state.index == self.seen_index or self.clock.now() < self.review_at
        ):
            return
        self.seen = seen
        self.seen_index = state.index
        self.review_at = self.clock.now() + REVIEW_SECONDS
        self.limits = {}
        self.due = {}
        for team, use in lending.team_usage(state, totals, leaving).items():
            needs, total = self.needs.get(team, {}), totals[team]
            old = needs.get(self.domain, lending.Need())
            new, most = lending.next_need(self.domain, total, needs, use)
            if state.index <= self.index:
                new = msgspec.structs.replace(
                    new, part=tuple(map(max, old.part, new.part))
                )
            # What is about to be given up is not used any more.
            most = tuple(map(min, old.part, new.part, most))
            if team in self.unsettled:
                most = tuple(map(min, most, self.unsettled[team]))
            self.limits[team] = lending.limit(total, most)
            news = lending.should_publish(self.domain, needs, new)
            if self.loaded and (news or team in self.unsettled):
                self.due[team] = new

    async def write(self, team, need):
        """Write this domain's need unless another domain was first."""
        key, old = PREFIX + team, self.needs.get(team, {})
        needs = {**old, self.domain: need}
        version = self.versions.get(team, 0)
        self.written_at[team] = self.clock.now()
        # Until an answer tells, the part may be the least that was ever tried.
        tried = self.unsettled.get(team, need.part)
        self.unsettled[team] = tuple(map(min, tried, need.part))
        try:
            written = await self.store.swap(key, msgspec.json.encode(needs), version)
        except errors.CompareFailedError as failure:
            self.written_at.pop(team)
            if failure.entry is not None:
                self.take([failure.entry])
        except errors.PlatformError as error:
            log.debug("%s: %s.", team, error)
        else:
            self.versions[team], self.needs[team] = written, needs
            self.unsettled.pop(team, None)
            self.changes += 1
