"""The operators' HTTP interface, used by ``clementinectl``."""

import msgspec
from litestar import Litestar, Response, delete, get, post, put
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from clementinebay import config, errors
from clementinebay.shard.wire import ttypes as wire

#: HTTP status of each error class; the most specific classes come first.
STATUSES = (
    (errors.UnknownJobError, 404),
    (errors.UnknownDomainError, 404),
    (errors.ConfigConflictError, 409),
    (errors.ConfigInvalidError, 422),
    (errors.RecordRefusedError, 409),
    (errors.PlatformUnavailableError, 503),
    (errors.PlatformError, 504),
    (errors.ConfigOutcomeUnknownError, 504),
    (errors.ClementineError, 500),
)
URGENCIES = {"batch": 0, "normal": 1, "urgent": 2}


class JobRequest(msgspec.Struct):
    """A submission of a job or service; resource amounts are per task."""

    name: str
    service: bool = False
    count: int = 1
    team: str = "default"
    urgency: str = "batch"
    kind: str = ""
    processors: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0
    run_seconds: float = 0.0
    max_attempts: int = 5

    def problems(self):
        """Return the validation errors of the submission."""
        return [
            message
            for invalid, message in (
                (not self.name.replace("-", "").isalnum(), "name: letters, digits, -"),
                (not 1 <= self.count <= 1_000_000, "count: from 1 to 1000000"),
                (self.urgency not in URGENCIES, f"urgency: one of {list(URGENCIES)}"),
                (not 0 < self.processors <= 10_000, "processors: above 0, to 10000"),
                (not 0 <= self.memory_mb <= 10**8, "memory_mb: from 0 to 100000000"),
                (not 0 <= self.accelerators <= 10**4, "accelerators: from 0 to 10000"),
                (not 0 <= self.run_seconds <= 10**7, "run_seconds: from 0 to 10000000"),
                (not 1 <= self.max_attempts <= 1000, "max_attempts: from 1 to 1000"),
            )
            if invalid
        ]

    def spec(self):
        """Return the `wire.JobSpec`; raise `ConfigInvalidError` if it is invalid."""
        if problems := self.problems():
            raise errors.ConfigInvalidError(problems)
        size = wire.Resources(
            round(self.processors * 1000), self.memory_mb, self.accelerators
        )
        return wire.JobSpec(
            id=self.name,
            workload=wire.Workload.SERVICE if self.service else wire.Workload.BATCH,
            team=self.team,
            urgency=URGENCIES[self.urgency],
            kind=self.kind or self.name,
            count=self.count,
            size=size,
            run_seconds=self.run_seconds,
            max_attempts=self.max_attempts,
        )


class ConfigChange(msgspec.Struct):
    """A change of sections, based on revision ``base``; a null text deletes one."""

    sections: dict[str, str | None]
    base: int
    author: str = ""


class DomainChange(msgspec.Struct):
    """Takes a failure domain out of service or back in."""

    state: str
    author: str = ""


class ErrorBody(msgspec.Struct):
    """Body of an error response."""

    code: str
    message: str
    problems: list[str] = []


def error_response(_request, error):
    """Return the response for a `ClementineError`."""
    status = next(s for kind, s in STATUSES if isinstance(error, kind))
    problems = [str(problem) for problem in getattr(error, "problems", ())]
    return Response(ErrorBody(error.code, str(error), problems), status_code=status)


def to_dict(struct):
    """Return the fields of a thrift structure as a dictionary."""
    return {name: getattr(struct, name) for name in struct.__slots__}


def standings_response(standings, unanswered):
    """Return the response to a query for jobs.

    A header lists the domains that did not answer.
    """
    headers = {"X-Unanswered-Domains": ",".join(unanswered)} if unanswered else {}
    return Response([to_dict(standing) for standing in standings], headers=headers)


def health_routes(front):
    """Return the routes for the load balancer and for metrics."""

    @get("/health", sync_to_thread=False)
    def health() -> dict[str, str]:
        return {"status": "alive"}

    @get("/ready", sync_to_thread=False)
    def ready() -> Response:
        status = "ready" if front.ready else "draining"
        return Response({"status": status}, status_code=200 if front.ready else 503)

    @get("/metrics", sync_to_thread=False)
    def metrics() -> Response:
        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    return [health, ready, metrics]


def job_routes(jobs):
    """Return the routes for jobs and services."""

    @post("/v1/jobs")
    async def submit(data: JobRequest) -> dict:
        plan = await jobs.submit(data.spec())
        return {"name": plan.name, "parts": msgspec.to_builtins(plan.parts)}

    @get("/v1/jobs")
    async def standings() -> Response[list[dict]]:
        return standings_response(*await jobs.standings([]))

    @get("/v1/jobs/{name:str}")
    async def standing(name: str) -> Response[list[dict]]:
        await jobs.registry.find(name)
        return standings_response(*await jobs.standings([name]))

    @delete("/v1/jobs/{name:str}", status_code=200)
    async def cancel(name: str) -> dict[str, str]:
        await jobs.cancel(name)
        return {"name": name}

    return [submit, standings, standing, cancel]


def with_state(text, state):
    """Return the ``text`` of a domain section with its state replaced."""
    keys = dict(config.parse(f"[domain]\n{text}").items("domain"))
    keys["state"] = state
    return "".join(f"{key} = {keys[key]}\n" for key in sorted(keys))


def config_routes(watcher, livelist):
    """Return the routes for the configuration document."""

    @get("/v1/config")
    async def show() -> dict:
        document = await watcher.store.document(watcher.document)
        return {"revision": document.revision, "sections": document.texts}

    @post("/v1/config")
    async def apply(data: ConfigChange) -> dict[str, int]:
        revision = await watcher.store.apply(
            data.sections, data.base, data.author, watcher.document
        )
        return {"revision": revision}

    @get("/v1/config/history")
    async def history(limit: int = 20) -> list[config.Change]:
        return await watcher.store.history(limit)

    @put("/v1/domains/{name:str}")
    async def change_domain(name: str, data: DomainChange) -> dict[str, int]:
        document = await watcher.store.document(watcher.document)
        section = f"domain:{name}"
        if name not in livelist.domains() and section not in document.texts:
            raise errors.UnknownDomainError(f"no failure domain {name}")
        text = with_state(document.texts.get(section, ""), data.state)
        revision = await watcher.store.apply(
            {section: text}, document.revision, data.author, document
        )
        return {"revision": revision}

    return [show, apply, history, change_domain]


def status_routes(kernel):
    """Return the routes that show the status of the system."""
    settings = kernel.settings
    livelist, watcher = kernel.find("livelist"), kernel.find("config")
    shard, peers = kernel.find("shard"), kernel.find("peers")
    scheduler = kernel.find("scheduler")

    @get("/v1/endpoints", sync_to_thread=False)
    def endpoints() -> list[dict]:
        return [
            {
                "id": vm.id,
                "failure_domain": vm.failure_domain,
                "rack": vm.rack,
                "address": vm.address,
                "leaving": vm.leaving,
                "lost": is_lost(shard.state, vm.id),
                "tasks": task_count(shard.state, vm.id),
            }
            for vm in livelist.vms.values()
            if vm.role == "endpoint"
        ]

    @get("/v1/domains", sync_to_thread=False)
    def domains() -> list[dict]:
        names = set(livelist.domains()) | set(watcher.document.section_names("domain"))
        return [
            {"name": name, "state": watcher.document.get(f"domain:{name}", "state")}
            for name in sorted(names)
        ]

    @get("/v1/status", sync_to_thread=False)
    def status() -> dict:
        now = kernel.clock.now()
        return {
            "daemon": settings.daemon_name,
            "failure_domain": settings.daemon_failure_domain,
            "scheduler": scheduler.leader.held,
            "config_revision": watcher.document.revision,
            "config_age_seconds": round(now - watcher.confirmed_at, 3),
            "live_list_age_seconds": round(now - livelist.confirmed_at, 3),
            "log_index": shard.state.index,
            "domain_out": shard.state.out,
            "requests_in_progress": kernel.find("router").in_progress,
            "peers": sorted(
                name for name, n in peers.neighbours.items() if n.fresh_until > now
            ),
        }

    @get("/v1/traces/{trace_id:str}")
    async def trace(trace_id: str) -> list[dict]:
        return [msgspec.to_builtins(span) for span in await peers.spans(trace_id)]

    return [endpoints, domains, status, trace]


def task_count(state, endpoint):
    """Return the number of tasks at ``endpoint``, or -1 if it is not in this shard."""
    known = state.endpoints.get(endpoint)
    return len(known.held) if known else -1


def is_lost(state, endpoint):
    """Return whether ``endpoint`` is in this shard and was declared lost."""
    known = state.endpoints.get(endpoint)
    return bool(known and known.lost)


def build(kernel, front, request_api):
    """Return the ASGI application for clients and operators.

    Clients' requests bypass the web framework, whose routing would take more time than
    all other processing.
    """
    app = Litestar(
        route_handlers=[
            *health_routes(front),
            *job_routes(kernel.find("jobs")),
            *config_routes(kernel.find("config"), kernel.find("livelist")),
            *status_routes(kernel),
        ],
        exception_handlers={errors.ClementineError: error_response},
        openapi_config=None,
        logging_config=None,
    )

    async def dispatch(scope, receive, send):
        if scope["type"] == "http" and scope["path"].startswith("/v1/services/"):
            await request_api(scope, receive, send)
        else:
            await app(scope, receive, send)

    return dispatch
