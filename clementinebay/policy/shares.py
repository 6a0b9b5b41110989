"""Tells which jobs of an organisation exceed its share.

Load pattern: one organisation sends many times its usual rate while there is too little
room.  In the order of arrival its jobs would delay all others.  Here each organisation
has as many jobs a second as its weight says before those of others, so the order among
jobs within the shares follows the weights.  The jobs beyond wait for room that nobody
within a share needs: unused shares are lent, and are back with the next job of their
owner.
"""

#: Time over which an organisation may use its share unevenly, in seconds.
WINDOW_SECONDS = 5.0


class Shares:
    """The shares of organisations: one job each ``1 / weight`` seconds.

    ``next_at`` has, by organisation, the time up to which its share is used (a virtual
    scheduling algorithm, as in ITU-T I.371).
    """

    __slots__ = ("next_at",)

    def __init__(self):
        self.next_at = {}

    def exceeds(self, name, weight, accepted_at):
        """Count a job accepted at ``accepted_at``; return whether it exceeds the share.

        Jobs are to be given in the order of their acceptance.  One that exceeds the
        share uses nothing of it.
        """
        if weight <= 0:
            return True
        next_at = max(accepted_at, self.next_at.get(name, 0.0))
        if next_at - accepted_at > WINDOW_SECONDS:
            return True
        self.next_at[name] = next_at + 1 / weight
        return False
