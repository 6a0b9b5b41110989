"""Which fillers push which replicas over their latency bound, learned from readings.

Tasks of one image behave alike, so what is learned holds for pairs of images: the
probability that a filler's image, at work beside a replica's image, puts the replica's
tail over its bound.  A calm reading clears the images that were at work beside it.  A
reading over the bound is shared out among them by what is thought of each so far, as in
one step of expectation maximization for a noisy-or model.

A linear fit (`policy.interference`) was weighed: tails grow by a factor of ten once
they exceed the bound, so its weights follow a few extreme readings.
"""

from collections import defaultdict

#: What is thought of a pair that was never seen together.
UNKNOWN = 0.15
#: A pair is never taken for harmless with more certainty than this leaves.
LEAST = 0.02
#: Share of an endpoint's processors at which a filler's work counts in full.
FULL_SHARE = 0.2
#: Share below which it does not count.
LEAST_SHARE = 0.02
#: Tails below this share of the bound clear the fillers beside them.
CALM_SHARE = 0.75
#: How much one reading changes what is thought.
STEP = 0.1
#: What is thought of a pair returns to the unknown in about so long, in seconds: a pair
#: that was blamed wrongly is tried again.
FORGET_SECONDS = 30.0
#: Probability that a reading over the bound has another cause than fillers.
OTHER_CAUSES = 0.02


class Pressure:
    """The probabilities of harm by (replica's image, filler's image)."""

    def __init__(self):
        self.harm = defaultdict(lambda: UNKNOWN)
        self.forgot_at = 0.0

    def export(self):
        """Return what is thought, as [replica's image, filler's image, harm] rows."""
        return [[*pair, round(known, 3)] for pair, known in self.harm.items()]

    def take(self, rows):
        """Go on from what an earlier scheduler thought."""
        for replica, filler, known in rows:
            self.harm[replica, filler] = known

    def observe(self, endpoint, now):
        """Learn from an endpoint's newest readings.

        They cover the time since about the reading before, so what was at work then is
        blamed too, and only what is at work since then is cleared.
        """
        self.forget(now)
        before, shares = endpoint.filler_shares, filler_shares(endpoint)
        endpoint.filler_shares = shares
        steady = {i: min(s, before[i]) for i, s in shares.items() if i in before}
        either = {
            image: max(shares.get(image, 0.0), before.get(image, 0.0))
            for image in shares.keys() | before.keys()
        }
        for image, share in worst_by_image(endpoint).items():
            if share < CALM_SHARE:
                self.clear(image, steady)
            elif share > 1.0:
                self.blame(image, either)

    def forget(self, now):
        """Let what is thought return to the unknown."""
        if now < self.forgot_at + 1.0:
            return
        self.forgot_at = now
        for pair, known in self.harm.items():
            if known > UNKNOWN:
                self.harm[pair] = known + (UNKNOWN - known) / FORGET_SECONDS

    def clear(self, image, shares):
        """Take a calm reading beside fillers with these shares of the processors."""
        for filler, share in shares.items():
            known = self.harm[image, filler] * (1 - STEP * activity(share))
            self.harm[image, filler] = max(LEAST, known)

    def blame(self, image, shares):
        """Take a reading over the bound beside fillers with these shares."""
        harmless = 1 - OTHER_CAUSES
        for filler, share in shares.items():
            harmless *= 1 - self.harm[image, filler] * activity(share)
        for filler, share in shares.items():
            known, active = self.harm[image, filler], activity(share)
            caused = known * active / (1 - harmless)
            self.harm[image, filler] += STEP * active * max(0.0, caused - known)

    def between(self, images, filler):
        """Return the probability that ``filler`` harms any of the replicas' images."""
        harmless = 1.0
        for image in images:
            harmless *= 1 - self.harm[image, filler]
        return 1 - harmless

    def on_replica(self, image, endpoint):
        """Return the probability that the fillers of an endpoint harm a replica."""
        harmless = 1.0
        for filler in endpoint.filler_images:
            harmless *= 1 - self.harm[image, filler]
        return 1 - harmless


def activity(share):
    """Return how much a filler with ``share`` of the processors counts, up to 1."""
    return min(1.0, share / FULL_SHARE)


def filler_shares(endpoint):
    """Return the share of the processors that fillers of each image use."""
    shares = defaultdict(float)
    for task in endpoint.filler_tasks():
        used = task.figure if task.pace is None else task.figure * task.pace / 100
        shares[task.step.image] += used / max(1, endpoint.info.processors_milli)
    return {image: share for image, share in shares.items() if share > LEAST_SHARE}


def worst_by_image(endpoint):
    """Return the greatest tail as a share of its bound, by the replicas' images."""
    worst = {}
    for task in endpoint.replica_tasks():
        if task.step.latency_ms and task.percent >= 100:
            share = task.figure / task.step.latency_ms
            worst[task.step.image] = max(worst.get(task.step.image, 0.0), share)
    return worst
