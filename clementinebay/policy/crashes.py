"""Decides which tasks are suspected of crashing their endpoints, and given up.

Any run that has just begun when its endpoint crashes may be the cause.  A crash in
which the task ran alone is evidence against this task only, so suspects are run alone.
Crashes of many endpoints at a time have another cause.
"""

#: A run that has lasted this long is not the cause of a crash, in seconds.  It exceeds
#: the time after which a crash of a silent endpoint is noticed.
SOUND_SECONDS = 3.0
#: Crashes under a task after which it is run alone.  The run begun last before a crash
#: is the likeliest cause, so its task is run alone after the first crash.
MIN_SUSPECT_CRASHES = 2
#: Crashes under a task after which it is given up if it ran alone in the last one.
MAX_CRASHES_ALONE = 3
#: Crashes under a task after which it is given up in any case.
MAX_CRASHES = 4
#: Crashes within this time of each other may have one cause, in seconds.
MASS_WINDOW_SECONDS = 1.0
#: Greatest number of endpoints, and greatest share of them, that tasks are held to
#: crash within that time.
MAX_SEPARATE_CRASHES = 2
MAX_SEPARATE_SHARE = 0.25
#: Time for which a suspect waits for an endpoint without other runs, in seconds.
MAX_ISOLATION_WAIT_SECONDS = 2.5
#: Greatest share of a service's endpoints that are kept for suspects at a time.
MAX_ISOLATED_SHARE = 0.25


def is_suspect(crashes):
    """Return whether a task with this many crashes is to run alone."""
    return crashes >= MIN_SUSPECT_CRASHES


def is_given_up(crashes, alone):
    """Return whether a task is given up; ``alone`` tells of its last crash."""
    return crashes >= (MAX_CRASHES_ALONE if alone else MAX_CRASHES)


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
