"""How much fillers press the replicas beside them, learned from readings.

The headroom of a replica is its bound on the tail over the tail: 1 at the bound, more
below it.  As in a queue, the reciprocal of the tail falls linearly with utilization, so
each filler takes headroom in proportion to the processors it uses.  Tasks of one image
behave alike, so that proportion, the weight, belongs to a pair of images.  Replicas of
one job share its clients' load, so what their headroom would be without fillers, the
level, belongs to the job; it moves within seconds.

Weights and levels are estimated together by a Kalman filter with independent variances.
"""

#: The pace of a run that works all the time, in percent.
FULL_PACE = 100
#: Weight of a pair that was never seen together, and its variance: weights lie between
#: 0 and 10 on the users' sites.
UNKNOWN_WEIGHT = 1.5
UNKNOWN_VARIANCE = 9.0
#: Variance that stays however often a pair was seen, and its growth by a reading.
LEAST_VARIANCE = 0.05
VARIANCE_GROWTH = 0.003
#: Level of a job that was not measured yet, its variance, and the growth of that in a
#: second.
UNKNOWN_LEVEL = 2.0
LEVEL_VARIANCE = 1.0
LEVEL_GROWTH = 0.15
#: Levels above this are not told apart: tails are whole milliseconds.
MOST_LEVEL = 5.0
#: Standard deviation of readings, as a share of the headroom, and its least variance.
NOISE_SHARE = 0.1
NOISE_VARIANCE = 0.01
#: Least headroom for which the noise is reckoned.
NOISE_FLOOR = 0.5
#: Below this headroom tails are cut off, so they tell of too much pressure only.
CUT_OFF = 0.3
#: Readings cover half a second; a run or replica that is younger is left out.
FIRST_READING_SECONDS = 0.6
#: The trend of a level is taken over so long, and followed ahead for so long, in
#: seconds: a reading is that old when the orders after it are in force.
TREND_SECONDS = 1.0
AHEAD_SECONDS = 0.5
#: Headroom that is kept, above 1 at the bound.
KEPT_HEADROOM = 1.05


class Estimate:
    """A value, and the variance of its error."""

    __slots__ = ("value", "variance")

    def __init__(self, value, variance):
        self.value = value
        self.variance = variance


class Level(Estimate):
    """What the headroom of a job's replicas would be without fillers.

    ``lagging`` follows the value with a delay of `TREND_SECONDS`.
    """

    __slots__ = ("at", "lagging")

    def __init__(self, value, now):
        super().__init__(value, LEVEL_VARIANCE)
        self.at = now
        self.lagging = value

    def pass_time(self, now):
        """Become less certain with time."""
        seconds = max(0.0, now - self.at)
        self.at = now
        self.variance = min(LEVEL_VARIANCE, self.variance + LEVEL_GROWTH * seconds)
        self.lagging += (self.value - self.lagging) * min(1.0, seconds / TREND_SECONDS)

    def ahead(self):
        """Return the value expected when orders after the last reading are in force."""
        trend = (self.value - self.lagging) / TREND_SECONDS
        return self.value + min(0.0, trend) * AHEAD_SECONDS


class Pressure:
    """Weights by (replica's image, filler's image), and levels by job id."""

    def __init__(self):
        self.weights = {}
        self.levels = {}

    def export(self):
        """Return the weights as [replica's image, filler's image, value, variance]."""
        return [
            [*pair, round(weight.value, 3), round(weight.variance, 3)]
            for pair, weight in self.weights.items()
        ]

    def load_weights(self, rows):
        """Go on from the weights of an earlier scheduler."""
        for replica, filler, value, variance in rows:
            self.weights[replica, filler] = Estimate(value, variance)

    def forget_job(self, job_id):
        """Drop the level of an ended job."""
        self.levels.pop(job_id, None)

    def weight(self, replica, filler):
        """Return the headroom lost where ``filler`` uses all processors."""
        known = self.weights.get((replica, filler))
        return UNKNOWN_WEIGHT if known is None else known.value

    def estimate(self, replica, filler):
        """Return the `Estimate` of a pair's weight."""
        pair = (replica, filler)
        if pair not in self.weights:
            self.weights[pair] = Estimate(UNKNOWN_WEIGHT, UNKNOWN_VARIANCE)
        return self.weights[pair]

    def observe(self, endpoint, now):
        """Learn from an endpoint's newest readings; note its levels at the endpoint."""
        shares, readings = used_shares(endpoint), measured(endpoint, now)
        if (shares, readings) == endpoint.last_readings:
            return
        endpoint.last_readings = (shares, readings)
        local = {}
        for job_id, (image, headroom) in readings.items():
            lost = sum(
                self.weight(image, filler) * share for filler, share in shares.items()
            )
            local[job_id] = headroom + lost
            self.learn(job_id, image, headroom, shares, now)
        endpoint.local_levels = local

    def learn(self, job_id, image, headroom, shares, now):
        """Take one reading of a job's headroom beside fillers with these shares."""
        weights = [
            (self.estimate(image, filler), share) for filler, share in shares.items()
        ]
        lost = sum(weight.value * share for weight, share in weights)
        level = self.levels.get(job_id)
        if level is None:
            self.levels[job_id] = Level(min(MOST_LEVEL, headroom + lost), now)
            return
        level.pass_time(now)
        expected = level.value - lost
        error = headroom - expected
        if headroom < CUT_OFF and error > 0:
            return
        noise = (NOISE_SHARE * max(headroom, expected, NOISE_FLOOR)) ** 2
        total = level.variance + noise + NOISE_VARIANCE
        total += sum(share * share * weight.variance for weight, share in weights)
        for weight, share in weights:
            gain = weight.variance * share / total
            weight.value = max(0.0, weight.value - gain * error)
            weight.variance *= 1 - gain * share
            weight.variance = max(LEAST_VARIANCE, weight.variance) + VARIANCE_GROWTH
        gain = level.variance / total
        level.value = min(MOST_LEVEL, level.value + gain * error)
        level.variance *= 1 - gain

    def headroom_by_image(self, endpoint):
        """Return what fillers may take from each job's headroom at an endpoint.

        A list of (replica's image, headroom).  A level that was measured here counts if
        it is lower: something else may press.
        """
        headroom_by_image = []
        for job_id, image in endpoint.image_by_replica_job().items():
            level = self.levels.get(job_id)
            value = UNKNOWN_LEVEL if level is None else level.ahead()
            value = min(value, endpoint.local_levels.get(job_id, value))
            headroom_by_image.append((image, value - KEPT_HEADROOM))
        return headroom_by_image

    def spare_headroom(self, endpoint):
        """Return `headroom_by_image` less what fillers take at their current paces."""
        shares = {}
        for task in endpoint.filler_tasks():
            pace = FULL_PACE if task.pace is None else task.pace
            share = full_share(endpoint, task) * pace / FULL_PACE
            shares[task.step.image] = shares.get(task.step.image, 0.0) + share
        return [
            (
                image,
                room
                - sum(self.weight(image, filler) * s for filler, s in shares.items()),
            )
            for image, room in self.headroom_by_image(endpoint)
        ]

    def speed(self, endpoint, step):
        """Return the share of time, 0 to 1, that one more filler could work at."""
        share = step.processors_milli / max(1, endpoint.info.processors_milli)
        speed = 1.0
        for image, room in endpoint.spare_headroom:
            lost = self.weight(image, step.image) * share
            if lost > 0:
                speed = min(speed, room / lost)
        return max(0.0, speed)

    def taken(self, endpoint, step):
        """Return the share of an average headroom that one more filler takes."""
        share = step.processors_milli / max(1, endpoint.info.processors_milli)
        weights = (self.weight(image, step.image) for image in endpoint.replica_images)
        return max(weights, default=0.0) * share / (UNKNOWN_LEVEL - 1)

    def on_replica(self, image, endpoint):
        """Return the headroom that an endpoint's fillers would take from a replica."""
        return sum(
            self.weight(image, filler) * share
            for filler, share in used_shares(endpoint).items()
        )


def full_share(endpoint, task):
    """Return the share of the processors that a filler uses when it is not paced."""
    return task.step.processors_milli / max(1, endpoint.info.processors_milli)


def used_shares(endpoint):
    """Return the shares of the processors that fillers used at the last reading."""
    shares = {}
    for task in endpoint.filler_tasks():
        if task.measurement > 0:
            share = task.measurement / max(1, endpoint.info.processors_milli)
            shares[task.step.image] = shares.get(task.step.image, 0.0) + share
    return shares


def measured(endpoint, now):
    """Return the image and the mean headroom of replicas, by job id."""
    sums = {}
    for task in endpoint.replica_tasks():
        settled = task.percent >= 100 and now > task.started_at + FIRST_READING_SECONDS
        if not settled or not task.step.latency_ms or task.measurement <= 0:
            continue
        image, total, count = sums.get(task.job.id, (task.step.image, 0.0, 0))
        headroom = task.step.latency_ms / task.measurement
        sums[task.job.id] = (image, total + headroom, count + 1)
    return {
        job_id: (image, total / count) for job_id, (image, total, count) in sums.items()
    }


def max_tail_ratio_by_image(endpoint):
    """Return the greatest tail as a share of its bound, by the replicas' images."""
    worst = {}
    for task in endpoint.replica_tasks():
        if task.step.latency_ms and task.percent >= 100:
            share = task.measurement / task.step.latency_ms
            worst[task.step.image] = max(worst.get(task.step.image, 0.0), share)
    return worst
