"""Decides which tasks are suspected of crashing their endpoints, and given up.

Any run that has just begun when its endpoint crashes may be the cause.  A crash in
which the task ran alone is evidence against this task only, so suspects are run alone.
Crashes of many endpoints at a time have another cause.

Load pattern: endpoints crash one after another whatever runs there, or one endpoint
crashes again and again.  A sound task is then caught by several crashes in a row, so it
is given up only if that is unlikely at the rate of the other crashes.  An endpoint that
has crashed has to prove sound itself before a crash there is evidence.
"""

import math

#: A run that has lasted this long is not the cause of a crash, in seconds.  It exceeds
#: the time after which a crash of a silent endpoint is noticed.
SOUND_SECONDS = 3.0
#: Crashes under a task after which it is run alone.  The run begun last before a crash
#: is the likeliest cause, so its task is run alone after the first crash.
MIN_SUSPECT_CRASHES = 2
#: Fewest crashes under a task after which it is given up if it ran alone in the last
#: one, and in any case.
MAX_CRASHES_ALONE = 3
MAX_CRASHES = 4
#: Probability up to which crashes of unrelated cause may have hit a task that is given
#: up.  Some thousand tasks are under way at a time.
MAX_CHANCE = 1e-4
#: Crashes within this time of each other may have one cause, in seconds.
MASS_WINDOW_SECONDS = 1.0
#: Greatest number of endpoints, and greatest share of them, that tasks are held to
#: crash within that time.
MAX_SEPARATE_CRASHES = 2
MAX_SEPARATE_SHARE = 0.25
#: Time for which the moments of crashes are kept, in seconds.  Endpoints that crash
#: together are known to have crashed only as each of them is back.
MEMORY_SECONDS = 30.0
#: Shortest time from which the rate of crashes is taken, in seconds.
MIN_RATE_SECONDS = 10.0
#: Time for which a suspect waits for an endpoint without other runs, in seconds.
MAX_ISOLATION_WAIT_SECONDS = 2.5
#: Greatest share of a service's endpoints that are kept for suspects at a time.
MAX_ISOLATED_SHARE = 0.25


def is_suspect(crashes):
    """Return whether a task with this many crashes is to run alone."""
    return crashes >= MIN_SUSPECT_CRASHES


def is_given_up(crashes, alone, chance=0.0):
    """Return whether a task is given up; ``alone`` tells of its last crash.

    ``chance`` is the probability that one run is hit by a crash of another cause.
    """
    enough = crashes >= (MAX_CRASHES_ALONE if alone else MAX_CRASHES)
    return enough and chance**crashes <= MAX_CHANCE


def chance_of_crash(times, endpoints, now):
    """Return the probability that a crash of another cause hits a new run.

    ``times`` are those of such crashes lately, ``endpoints`` is the number of endpoints
    that could have crashed.
    """
    if not times or not endpoints:
        return 0.0
    seconds = min(MEMORY_SECONDS, max(MIN_RATE_SECONDS, now - min(times)))
    rate = len(times) / (endpoints * seconds)
    return 1.0 - math.exp(-rate * SOUND_SECONDS)


def is_sound(seconds):
    """Return whether a run that has lasted ``seconds`` is no cause of a crash."""
    return seconds >= SOUND_SECONDS


def is_mass_crash(crashed_at, times, endpoints):
    """Return whether too many of the ``times`` of crashes are near ``crashed_at``.

    ``endpoints`` is the number of endpoints, crashed ones included.
    """
    near = sum(abs(time - crashed_at) <= MASS_WINDOW_SECONDS for time in times)
    return near > max(MAX_SEPARATE_CRASHES, MAX_SEPARATE_SHARE * endpoints)


def max_isolated(endpoints):
    """Return how many of a service's ``endpoints`` may be kept for suspects."""
    return int(MAX_ISOLATED_SHARE * endpoints)
