"""Estimates how much headroom fillers take from the replicas on the same endpoint.

The headroom of a replica is the bound on its tail latency divided by the tail latency:
1 at the bound, more below it.  As in a queue, the reciprocal of the tail falls linearly
with utilization, so each filler takes headroom in proportion to the processors it uses.
The factor, called the weight, is estimated for each pair of images, since tasks of one
image behave alike.  Replicas of one job share the load of their clients, so the
headroom that they would have without fillers, called the level, is estimated for each
job.  Levels change within seconds.

A Kalman filter with independent variances estimates weights and levels together.
"""

#: Pace of a run that is never paused, in percent.
FULL_PACE = 100
#: Weight of a pair before its first reading, and the variance: weights lie between
#: 0 and 10 on the users' sites.
DEFAULT_WEIGHT = 1.5
DEFAULT_WEIGHT_VARIANCE = 9.0
#: Lower bound of a weight's variance, and its growth with each reading.
MIN_WEIGHT_VARIANCE = 0.05
WEIGHT_VARIANCE_GROWTH = 0.003
#: Level of a job before its first reading.
DEFAULT_LEVEL = 2.0
#: Variance of a new level, which is also the upper bound, and its growth per second.
MAX_LEVEL_VARIANCE = 1.0
LEVEL_VARIANCE_GROWTH = 0.15
#: Upper bound of a level: tails are reported in whole milliseconds, so higher levels
#: cannot be told apart.
MAX_LEVEL = 5.0
#: Standard deviation of readings relative to the headroom, and the least variance.
RELATIVE_NOISE = 0.1
NOISE_VARIANCE = 0.01
#: Lower bound of the headroom from which the noise is computed.
MIN_NOISE_HEADROOM = 0.5
#: Below this headroom reported tails are truncated, so a reading shows only that the
#: headroom is at most this low.
TRUNCATED_HEADROOM = 0.3
#: Runs and replicas younger than this are not read: a reading covers half a second.
MIN_AGE_SECONDS = 0.6
#: Time constant for the trend of a level, and how far the trend is extrapolated: orders
#: take effect that long after the reading on which they are based.
TREND_SECONDS = 1.0
PREDICTION_SECONDS = 0.5
#: Headroom that fillers must leave to replicas; the bound itself is at 1.
MIN_HEADROOM = 1.05


class Estimate:
    """An estimated value and its variance."""

    __slots__ = ("value", "variance")

    def __init__(self, value, variance):
        self.value = value
        self.variance = variance


class Level(Estimate):
    """The headroom that a job's replicas would have without fillers.

    ``lagged_value`` follows the value with a time constant of `TREND_SECONDS`.
    """

    __slots__ = ("updated_at", "lagged_value")

    def __init__(self, value, now):
        super().__init__(value, MAX_LEVEL_VARIANCE)
        self.updated_at = now
        self.lagged_value = value

    def advance(self, now):
        """Increase the variance for the time since the last update."""
        seconds = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.variance = min(
            MAX_LEVEL_VARIANCE, self.variance + LEVEL_VARIANCE_GROWTH * seconds
        )
        self.lagged_value += (self.value - self.lagged_value) * min(
            1.0, seconds / TREND_SECONDS
        )

    def predicted(self):
        """Return the value expected when orders based on the last reading take effect.

        Only a falling trend is extrapolated.
        """
        trend = (self.value - self.lagged_value) / TREND_SECONDS
        return self.value + min(0.0, trend) * PREDICTION_SECONDS


class Pressure:
    """Weights by (replica image, filler image), and levels by job id."""

    def __init__(self):
        self.weights = {}
        self.levels = {}

    def export(self):
        """Return the weights as [replica image, filler image, value, variance]."""
        return [
            [*pair, round(weight.value, 3), round(weight.variance, 3)]
            for pair, weight in self.weights.items()
        ]

    def load_weights(self, rows):
        """Load the weights that an earlier scheduler exported."""
        for replica, filler, value, variance in rows:
            self.weights[replica, filler] = Estimate(value, variance)

    def forget_job(self, job_id):
        """Drop the level of an ended job."""
        self.levels.pop(job_id, None)

    def weight(self, replica, filler):
        """Return the headroom that ``filler`` takes if it uses all processors."""
        known = self.weights.get((replica, filler))
        return DEFAULT_WEIGHT if known is None else known.value

    def estimate(self, replica, filler):
        """Return the `Estimate` of a pair's weight, created if missing."""
        pair = (replica, filler)
        if pair not in self.weights:
            self.weights[pair] = Estimate(DEFAULT_WEIGHT, DEFAULT_WEIGHT_VARIANCE)
        return self.weights[pair]

    def observe(self, endpoint, now):
        """Update the estimates, and the endpoint's local levels, from new readings."""
        shares, readings = used_shares(endpoint), measured_headroom(endpoint, now)
        if (shares, readings) == endpoint.last_readings:
            return
        endpoint.last_readings = (shares, readings)
        local_levels = {}
        for job_id, (image, headroom) in readings.items():
            lost = sum(
                self.weight(image, filler) * share for filler, share in shares.items()
            )
            local_levels[job_id] = headroom + lost
            self.learn(job_id, image, headroom, shares, now)
        endpoint.local_levels = local_levels

    def learn(self, job_id, image, headroom, shares, now):
        """Update the estimates from one reading of a job's headroom.

        ``shares`` are the shares of the processors that fillers used, by image.
        """
        weights = [
            (self.estimate(image, filler), share) for filler, share in shares.items()
        ]
        lost = sum(weight.value * share for weight, share in weights)
        level = self.levels.get(job_id)
        if level is None:
            self.levels[job_id] = Level(min(MAX_LEVEL, headroom + lost), now)
            return
        level.advance(now)
        expected = level.value - lost
        error = headroom - expected
        if headroom < TRUNCATED_HEADROOM and error > 0:
            return
        noise = (RELATIVE_NOISE * max(headroom, expected, MIN_NOISE_HEADROOM)) ** 2
        total = level.variance + noise + NOISE_VARIANCE
        total += sum(share * share * weight.variance for weight, share in weights)
        for weight, share in weights:
            gain = weight.variance * share / total
            weight.value = max(0.0, weight.value - gain * error)
            weight.variance *= 1 - gain * share
            weight.variance = (
                max(MIN_WEIGHT_VARIANCE, weight.variance) + WEIGHT_VARIANCE_GROWTH
            )
        gain = level.variance / total
        level.value = min(MAX_LEVEL, level.value + gain * error)
        level.variance *= 1 - gain

    def headroom_by_image(self, endpoint):
        """Return a list of (replica image, headroom that fillers may take).

        A level measured at this endpoint counts if it is lower than the job's level,
        since something other than fillers may slow the replica there.
        """
        found = []
        for job_id, image in endpoint.image_by_replica_job().items():
            level = self.levels.get(job_id)
            value = DEFAULT_LEVEL if level is None else level.predicted()
            value = min(value, endpoint.local_levels.get(job_id, value))
            found.append((image, value - MIN_HEADROOM))
        return found

    def spare_headroom(self, endpoint):
        """Return `headroom_by_image` less what fillers take at their current pace."""
        shares = {}
        for task in endpoint.filler_tasks():
            pace = FULL_PACE if task.pace is None else task.pace
            share = unpaced_share(endpoint, task) * pace / FULL_PACE
            shares[task.step.image] = shares.get(task.step.image, 0.0) + share
        return [
            (
                image,
                headroom
                - sum(self.weight(image, filler) * s for filler, s in shares.items()),
            )
            for image, headroom in self.headroom_by_image(endpoint)
        ]

    def max_speed(self, endpoint, step):
        """Return the share of time, 0 to 1, for which one more filler could run."""
        share = step.processors_milli / max(1, endpoint.info.processors_milli)
        filler = step.image
        max_speed = 1.0
        for image, headroom in endpoint.spare_headroom:
            lost = self.weight(image, filler) * share
            if lost > 0:
                speed = headroom / lost
                if speed < max_speed:
                    max_speed = speed
        return max_speed if max_speed > 0.0 else 0.0

    def headroom_share(self, endpoint, step):
        """Return the share of the default headroom that one more filler would take."""
        share = step.processors_milli / max(1, endpoint.info.processors_milli)
        weights, filler, largest = self.weights, step.image, 0.0
        for image in endpoint.replica_images:
            known = weights.get((image, filler))
            weight = DEFAULT_WEIGHT if known is None else known.value
            if weight > largest:
                largest = weight
        return largest * share / (DEFAULT_LEVEL - 1)

    def headroom_loss(self, image, endpoint):
        """Return the headroom that an endpoint's fillers would take from a replica.

        ``image`` is the image of the replica.
        """
        return sum(
            self.weight(image, filler) * share
            for filler, share in used_shares(endpoint).items()
        )


def unpaced_share(endpoint, task):
    """Return the share of the processors that a filler uses at full pace."""
    return task.step.processors_milli / max(1, endpoint.info.processors_milli)


def used_shares(endpoint):
    """Return the shares of the processors that fillers used, by image.

    They are taken from the last reading.
    """
    shares = {}
    for task in endpoint.filler_tasks():
        if task.measurement > 0:
            share = task.measurement / max(1, endpoint.info.processors_milli)
            shares[task.step.image] = shares.get(task.step.image, 0.0) + share
    return shares


def measured_headroom(endpoint, now):
    """Return {job id: (image, mean headroom)} of the measured replicas."""
    sums = {}
    for task in endpoint.replica_tasks():
        settled = task.percent >= 100 and now > task.started_at + MIN_AGE_SECONDS
        if not settled or not task.step.latency_ms or task.measurement <= 0:
            continue
        image, total, count = sums.get(task.job.id, (task.step.image, 0.0, 0))
        headroom = task.step.latency_ms / task.measurement
        sums[task.job.id] = (image, total + headroom, count + 1)
    return {
        job_id: (image, total / count) for job_id, (image, total, count) in sums.items()
    }


def max_tail_ratio_by_image(endpoint):
    """Return the largest tail divided by its bound, by image of the replicas."""
    ratios = {}
    for task in endpoint.replica_tasks():
        if task.step.latency_ms and task.percent >= 100:
            ratio = task.measurement / task.step.latency_ms
            ratios[task.step.image] = max(ratios.get(task.step.image, 0.0), ratio)
    return ratios
