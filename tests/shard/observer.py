"""Observer of a shard's log in the model's platform."""

from clementinebay.shard import snapshot
from clementinebay.shard.log import ShardLog


class Observer:
    """Follows a shard's log directly in the platform, checking every batch."""

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
                next_indexes = {name: job.next_index for name, job in jobs.items()}
                self.log.apply([entry])
                self.state.check()
                self.record_jobs(jobs)
                for name in next_indexes.keys() & self.state.jobs.keys():
                    reset = self.state.jobs[name].next_index < next_indexes[name]
                    assert not reset, f"tasks of {name} were reset"
                world.snapshots[key] = snapshot.take(self.state)

    def record_jobs(self, jobs_before):
        self.submitted.update(self.state.jobs)
        for name in jobs_before.keys() - self.state.jobs.keys():
            origin, done = jobs_before[name].origin, jobs_before[name].done
            forgotten_done_counts = self.world.forgotten_done_counts
            forgotten_done_counts[origin] = forgotten_done_counts.get(origin, 0) + done
