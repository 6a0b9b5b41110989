"""Command-line interfaces of the daemon ``clementined`` and of ``clementinectl``."""

import argparse
import asyncio
import getpass
import json
import os
import signal
import sys

from clementinebay import (
    __version__,
    config,
    display,
    errors,
    log,
    operatorclient,
    settings,
    story,
)
from clementinebay.kernel import Kernel
from clementinebay.operatorclient import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from clementinebay.services import DAEMON_SERVICES

#: URL that is used if neither --daemon nor the environment gives one.
DEFAULT_DAEMON = "http://127.0.0.1:7000"

#: Prefix of the first line of a document printed by ``config show``.
REVISION_LINE = "# revision "

EXIT_CODES = """\
exit codes:
  0  success
  1  refused or failed; the message gives the reason
  2  invalid usage, settings file or document
  3  conflict with another change of the same section or job
  4  the daemon or the platform cannot be reached; a change may have taken effect
"""

EXAMPLES = """\
examples:
  clementinectl config check cluster.ini
  clementinectl config apply cluster.ini --base 12
  clementinectl service submit call-in --count 6 --processors 2 --urgency urgent
  clementinectl job submit minutes --count 40 --run-seconds 90 --team summaries
  clementinectl domain out almaty-2
  clementinectl --json status
  clementinectl --daemon http://10.1.0.13:9464 organisation list
  clementinectl story 5c0e7a21d94b36f8 front-a-1.log front-b-1.log
"""


# The daemon


def daemon_main(argv=None):
    """Run a daemon until SIGTERM or SIGINT; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="clementined",
        description="Runs one daemon of clementinebay.",
        epilog="example:\n  clementined --settings /etc/clementined.ini\n\n"
        "exit codes:\n  0  stopped after SIGTERM or SIGINT\n  1  cannot run\n"
        "  2  invalid usage or settings",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", metavar="FILE", help="INI file")
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    parser.add_argument(
        "--describe", action="store_true", help="print every setting and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    arguments = parser.parse_args(argv)
    if arguments.describe:
        print("\n".join(settings.describe()))
        return EXIT_OK
    if arguments.settings is None:
        parser.error("--settings FILE is required")
    try:
        values = settings.read(arguments.settings)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if arguments.check:
        return EXIT_OK
    log.configure(values.log_level)
    try:
        asyncio.run(run_daemon(values))
    except (errors.ClementineError, OSError) as error:
        print(f"clementined: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


async def run_daemon(values):
    """Run the services of a daemon until SIGTERM or SIGINT."""
    async with Kernel(values) as kernel:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, kernel.stopping.set)
        await kernel.run(DAEMON_SERVICES)


# The command-line tool


def main(argv=None):
    """Run one command of ``clementinectl``; return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        result = arguments.run(arguments, operatorclient.Client(arguments.daemon))
    except operatorclient.CommandError as error:
        print(f"clementinectl: {error}", file=sys.stderr)
        return error.exit_code
    except errors.ConfigInvalidError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except errors.JobUnknownError as error:
        print(f"clementinectl: {error}", file=sys.stderr)
        return EXIT_FAILED
    except OSError as error:
        print(f"clementinectl: {error}", file=sys.stderr)
        return EXIT_USAGE
    if arguments.json:
        print(json.dumps(result, indent=2))
    else:
        display.show(result)
    return EXIT_OK


def build_parser():
    """Return the argument parser of ``clementinectl``."""
    parser = argparse.ArgumentParser(
        prog="clementinectl",
        description="Operates clementinebay through any of its daemons.",
        epilog=EXAMPLES + "\n" + EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--daemon",
        metavar="URL",
        default=os.environ.get("CLEMENTINE_DAEMON", DEFAULT_DAEMON),
        help="URL of a daemon; default: $CLEMENTINE_DAEMON or " + DEFAULT_DAEMON,
    )
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
    parser.add_argument("--version", action="version", version=__version__)
    groups = parser.add_subparsers(required=True, metavar="COMMAND")
    add_config(groups)
    add_jobs(groups, "job", "batch jobs", service=False)
    add_jobs(groups, "service", "services", service=True)
    add_status(groups)
    return parser


def add_command(group, name, help, run):
    """Add command ``name``, executed by ``run``; return its parser."""
    parser = group.add_parser(name, help=help, description=help)
    parser.set_defaults(run=run)
    return parser


def add_config(groups):
    """Add the commands for the configuration document."""
    group = groups.add_parser("config", help="the configuration document")
    group = group.add_subparsers(required=True, metavar="COMMAND")
    add_command(group, "describe", "Print all section kinds and keys.", config_describe)
    command = add_command(group, "check", "Check a document.", config_check)
    command.add_argument("file")
    command = add_command(
        group,
        "apply",
        "Apply the sections of a document; other sections stay unchanged.",
        config_apply,
    )
    command.add_argument("file")
    command.add_argument(
        "--base",
        type=int,
        help="revision on which the document is based; default: the one in its first "
        "line if config show printed it, else the newest",
    )
    command.add_argument("--delete", action="append", default=[], metavar="SECTION")
    command.add_argument("--author", default=getpass.getuser())
    command = add_command(group, "show", "Show the document in force.", config_show)
    command.add_argument("section", nargs="?")
    command = add_command(group, "history", "Show the newest changes.", config_history)
    command.add_argument("--limit", type=int, default=20)


def add_jobs(groups, name, noun, service):
    """Add the commands for jobs or services."""
    group = groups.add_parser(name, help=noun)
    group = group.add_subparsers(required=True, metavar="COMMAND")
    command = add_command(group, "submit", f"Submit one of the {noun}.", job_submit)
    command.set_defaults(service=service)
    command.add_argument("name")
    command.add_argument("--count", type=int, default=1, help="tasks or replicas")
    command.add_argument("--team", default="default")
    command.add_argument(
        "--urgency",
        choices=("batch", "normal", "urgent"),
        default="urgent" if service else "batch",
    )
    command.add_argument(
        "--kind", default="", help="name shared by tasks that interfere alike"
    )
    command.add_argument("--processors", type=float, default=1.0)
    command.add_argument("--memory-mb", type=int, default=256)
    command.add_argument("--accelerators", type=int, default=0)
    command.add_argument(
        "--run-seconds", type=float, default=0.0, help="declared run time"
    )
    command.add_argument("--max-attempts", type=int, default=5)
    command = add_command(group, "list", f"List all {noun}.", job_list)
    command.set_defaults(service=service)
    command = add_command(group, "show", "Show the parts of one.", job_show)
    command.add_argument("name")
    command = add_command(group, "cancel", "Cancel one.", job_cancel)
    command.add_argument("name")


def add_status(groups):
    """Add the commands for endpoints, failure domains, status and diagnosis."""
    group = groups.add_parser("endpoint", help="endpoints")
    group = group.add_subparsers(required=True, metavar="COMMAND")
    add_command(group, "list", "List the endpoints.", endpoint_list)
    group = groups.add_parser("domain", help="failure domains")
    group = group.add_subparsers(required=True, metavar="COMMAND")
    for state in ("out", "in"):
        command = add_command(group, state, f"Take a domain {state}.", domain_change)
        command.set_defaults(state=state)
        command.add_argument("name")
        command.add_argument("--author", default=getpass.getuser())
    add_command(group, "list", "List the domains.", domain_list)
    group = groups.add_parser("organisation", help="organisations")
    group = group.add_subparsers(required=True, metavar="COMMAND")
    add_command(
        group,
        "list",
        "List limits, use and waiting work, from the scheduler's metrics address.",
        organisation_list,
    )
    add_command(groups, "status", "Show the status of the daemon.", status)
    command = add_command(groups, "trace", "Show the spans of a request.", trace)
    command.add_argument("id")
    command = add_command(
        groups, "story", "Show the history of an id from saved logs.", show_story
    )
    command.add_argument("id", help="id of a job, a task or an endpoint")
    command.add_argument("file", nargs="+", help="saved standard output of a daemon")


def config_describe(arguments, _client):
    """Describe the sections and keys of a document."""
    lines = list(config.describe())
    return lines if arguments.json else "\n".join(lines)


def config_check(arguments, _client):
    """Validate a document without contacting a daemon."""
    sections = read_document(arguments.file)
    return {"sections": len(sections)}


def read_document(path):
    """Return the sections of a document file.

    Raises `ConfigInvalidError` with all problems.
    """
    with open(path, encoding="utf-8") as file:
        sections = config.split(file.read())
    if problems := config.check(sections):
        raise errors.ConfigInvalidError(problems)
    return sections


def shown_revision(path):
    """Return the revision in a file's first line as ``config show`` prints it."""
    with open(path, encoding="utf-8") as file:
        first = file.readline()
    number = first.removeprefix(REVISION_LINE).strip()
    return int(number) if first.startswith(REVISION_LINE) and number.isdigit() else None


def config_apply(arguments, client):
    """Apply the sections of a document."""
    sections = dict(read_document(arguments.file))
    sections.update(dict.fromkeys(arguments.delete))
    base = arguments.base
    if base is None:
        base = shown_revision(arguments.file)
    if base is None:
        base = client.call("GET", "/v1/config")["revision"]
    body = {"sections": sections, "base": base, "author": arguments.author}
    return client.call("POST", "/v1/config", body)


def config_show(arguments, client):
    """Show the document in force, or one section of it."""
    document = client.call("GET", "/v1/config")
    sections = document["sections"]
    if arguments.section is not None:
        if arguments.section not in sections:
            raise operatorclient.CommandError(
                EXIT_FAILED, f"there is no section [{arguments.section}]"
            )
        sections = {arguments.section: sections[arguments.section]}
    if arguments.json:
        return {"revision": document["revision"], "sections": sections}
    return f"{REVISION_LINE}{document['revision']}\n{config.join(sections)}"


def config_history(arguments, client):
    """Show the newest changes."""
    changes = client.call("GET", f"/v1/config/history?limit={arguments.limit}")
    if not arguments.json:
        for change in changes:
            change["sections"] = ", ".join(sorted(change["sections"]))
            del change["nonce"]
    return changes


def job_submit(arguments, client):
    """Submit a job or service."""
    body = {
        name: getattr(arguments, name)
        for name in (
            "name",
            "service",
            "count",
            "team",
            "urgency",
            "kind",
            "processors",
            "memory_mb",
            "accelerators",
            "run_seconds",
            "max_attempts",
        )
    }
    return client.call("POST", "/v1/jobs", body)


def job_list(arguments, client):
    """List jobs or services, with counts summed over their parts."""
    totals = {}
    for part in client.call("GET", "/v1/jobs"):
        if part["is_service"] != arguments.service:
            continue
        total = totals.setdefault(
            part["origin"], {"name": part["origin"], "team": part["team"]}
        )
        for key in ("waiting", "running", "done", "parked"):
            total[key] = total.get(key, 0) + part[key]
    return list(totals.values())


def job_show(arguments, client):
    """Show the parts of a job."""
    return client.call("GET", f"/v1/jobs/{arguments.name}")


def job_cancel(arguments, client):
    """Cancel a job."""
    return client.call("DELETE", f"/v1/jobs/{arguments.name}")


def endpoint_list(_arguments, client):
    """List the endpoints."""
    return client.call("GET", "/v1/endpoints")


def domain_change(arguments, client):
    """Take a domain out of service or back in."""
    body = {"state": arguments.state, "author": arguments.author}
    return client.call("PUT", f"/v1/domains/{arguments.name}", body)


def domain_list(_arguments, client):
    """List the domains."""
    return client.call("GET", "/v1/domains")


def organisation_list(_arguments, client):
    """List the organisations."""
    return client.call("GET", "/organisations")


def status(_arguments, client):
    """Show the status of the daemon."""
    return client.call("GET", "/v1/status")


def trace(arguments, client):
    """Show the spans of a trace, as a tree unless JSON is requested."""
    spans = client.call("GET", f"/v1/traces/{arguments.id}")
    if arguments.json or not spans:
        return spans
    return "\n".join(display.span_lines(spans))


def show_story(arguments, _client):
    """Show the history of an id."""
    return "\n".join(story.history_lines(arguments.file, arguments.id))


if __name__ == "__main__":
    sys.exit(main())
