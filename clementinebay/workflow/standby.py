"""Endpoints that are listed but not used, because the others have room enough.

Load pattern: an installation with thousands of endpoints, of which the work needs a
few.  Asking each for reports takes more processor time than the scheduler's machine
grants, so that it cannot renew its lease.  Here the scheduler uses as many endpoints as
it can ask, and further ones as soon as tasks wait for room.
"""

import heapq

#: Endpoints used at the begin of a term per processor granted.  On 0.43 of a processor
#: 1,000 endpoints, most of them idle, took 0.25 of one.
ENDPOINTS_PER_PROCESSOR = 400
#: Endpoints used at least.
MIN_ENDPOINTS = 400
#: Greatest number of endpoints that are taken into use at a time.
MAX_ADDED = 32
#: Lag of the event loop beyond which no endpoint is taken into use, in seconds.
MAX_LAG_SECONDS = 0.1


class Standby:
    """The endpoints that are listed and not used, by id.

    ``limit`` is the number of endpoints that are used whether or not they are needed.
    """

    __slots__ = ("limit", "infos")

    def __init__(self, processors):
        self.limit = max(MIN_ENDPOINTS, int(ENDPOINTS_PER_PROCESSOR * processors))
        self.infos = {}

    def keeps(self, engine, info):
        """Keep an endpoint on standby; return ``False`` if it must be used.

        One that an earlier scheduler used may have runs, and one at the address of a
        used one proves that that has ended.
        """
        if (
            len(engine.endpoints) < self.limit
            or info.id in engine.endpoints
            or engine.inherited_endpoints.expects(info.id)
            or (info.address, info.service) in engine.occupants
        ):
            self.infos.pop(info.id, None)
            return False
        self.infos[info.id] = info
        return True

    def drop(self, endpoint_id):
        """Forget an endpoint that is not listed any more."""
        self.infos.pop(endpoint_id, None)

    def take(self, tasks, lag_seconds):
        """Remove and return the endpoints to take into use now.

        ``tasks`` found no endpoint in the last plan.
        """
        if not self.infos or not tasks or lag_seconds > MAX_LAG_SECONDS:
            return []
        chosen = heapq.nlargest(
            MAX_ADDED,
            self.infos.values(),
            key=lambda info: max(suitability(info, task) for task in tasks),
        )
        for info in chosen:
            del self.infos[info.id]
        return chosen


def suitability(info, task):
    """Return the sort key of an endpoint for a task; the greatest is the best."""
    step = task.step
    return (
        info.service == task.job.spec.service and not info.leaving,
        not step.required_label or step.required_label in info.labels,
        not step.data_rack or info.rack == step.data_rack,
    )
