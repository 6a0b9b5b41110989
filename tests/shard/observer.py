"""Follows a shard's log in the platform of the model."""

from clementinebay.shard import snapshot
from clementinebay.shard.log import ShardLog


class Observer:
    """Follows a shard in the platform itself, batch by batch."""

    def __init__(self, world, domain):
        self.world = world
        self.domain = domain
        self.log = ShardLog(None, domain, "observer", world)
        self.submitted = set()

    @property
    def state(self):
        return self.log.state

    def observe(self):
        world, prefix = self.world, self.log.prefix
        for entry in world.space.range(prefix, prefix + "~"):
            index = int(entry.key.rpartition("/")[2])
            key = (self.domain, index)
            assert world.batch_texts.setdefault(key, entry.value) == entry.value, (
                f"batch {key} was written twice"
            )
            if index > self.state.index:
                jobs = dict(self.state.jobs)
                begun = {name: job.next_index for name, job in jobs.items()}
                self.log.apply([entry])
                self.state.check()
                self.record_jobs(jobs)
                for name in begun.keys() & self.state.jobs.keys():
                    again = self.state.jobs[name].next_index < begun[name]
                    assert not again, f"tasks of {name} begin again"
                world.snapshots[key] = snapshot.take(self.state)

    def record_jobs(self, before):
        self.submitted.update(self.state.jobs)
        for name in before.keys() - self.state.jobs.keys():
            origin, done = before[name].origin, before[name].done
            forgotten_done_counts = self.world.forgotten_done_counts
            forgotten_done_counts[origin] = forgotten_done_counts.get(origin, 0) + done
