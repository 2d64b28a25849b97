"""``guavapin where``: where a request or a job would go now, and why."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from guavapin.console.exit_codes import ExitCode
from guavapin.console.render import render_table
from guavapin.kernel.outcome import Ok

if TYPE_CHECKING:
    import argparse

    from guavapin.console.client import Answer
    from guavapin.console.command import Console
    from guavapin.kernel.outcome import Outcome

WHERE_PATH = "/v1/where"
ENTRY_PATH = "/operator/v1/where"


class WhereCommand:
    """Explain where a request, a job or a waiting job would go now."""

    name = "where"
    summary = "say where a request or a job would go now, and why"
    description = """\
Say where a request, a job in the form callers send it, or a waiting job would go now:
queue and pool, place in the order, chosen hosts, hosts left out by reason, and whether
it would be rejected. Nothing is submitted and nothing changes. --url is the peer
address of an entry host. If that host does not schedule, the scheduler that it names is
asked; if it does not answer, the host's own view is shown with its age.

With --entry, --url is the operators' address of guavapin-entry: the answer is the
service, the upstream that would be chosen, and why each upstream is a candidate or not.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the request, the job and the id of a waiting job."""
        parser.add_argument("--host", default="", help="host of the request")
        parser.add_argument("--path", default="", help="path of the request")
        parser.add_argument("--size", type=int, help="bytes of its body")
        parser.add_argument("--job-file", default="", help="JSON file of a job")
        parser.add_argument("--organisation", default="", help="its organisation")
        parser.add_argument("--job", default="", help="id of a waiting job")
        parser.add_argument("--entry", action="store_true", help="ask guavapin-entry")
        parser.add_argument("--method", default="GET", help="method, with --entry")
        parser.add_argument("--team", default="", help="team, with --entry")

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read and render the explanation."""
        query: dict[str, str] = {}
        body = b""
        if args.entry:
            if args.job or args.job_file:
                detail = "--entry: given with a job, expected --host and --path"
                return console.fail(detail, ExitCode.BAD_INPUT)
            query = {
                name: str(getattr(args, name) or "")
                for name in ("host", "path", "method", "team")
            }
            query["size"] = str(args.size or 0)
            outcome = console.client.get(ENTRY_PATH, query)
            return console.finish(outcome, _entry_text)
        if args.job:
            if args.host or args.path or args.job_file:
                detail = "--job: given with a request, expected one of both"
                return console.fail(detail, ExitCode.BAD_INPUT)
            query["job"] = args.job
        else:
            query |= {"host": args.host, "path": args.path}
            if args.job_file:
                try:
                    body = Path(args.job_file).read_bytes()
                except OSError as exc:
                    detail = f"--job-file: {args.job_file!r} given, {exc.strerror}"
                    return console.fail(detail, ExitCode.BAD_INPUT)
            size = len(body) if args.size is None else args.size
            query |= {"size": str(size), "organisation": args.organisation}
        own = console.client.query(WHERE_PATH, query, body)
        return console.finish(self._follow(own, query, body, console), _as_text)

    def _follow(
        self,
        own: Outcome[Answer],
        query: dict[str, str],
        body: bytes,
        console: Console,
    ) -> Outcome[Answer]:
        """Return the answer of the scheduler that a host names, or else its own."""
        if not isinstance(own, Ok) or own.value.status != 200:
            return own
        address = own.value.body["scheduler"]
        if not address:
            return own
        client = replace(console.client, base_url=f"http://{address}")
        outcome = client.query(WHERE_PATH, query, body)
        is_answered = isinstance(outcome, Ok) and (
            outcome.value.status != 200 or outcome.value.body["is_scheduling"]
        )
        return outcome if is_answered else own


def _as_text(body: Any) -> str:
    age_ms = body["view_age_ms"]
    age = "age not measured" if age_ms < 0 else f"proven {age_ms} ms ago"
    lines = [f"table version {body['table_version']}, {age}"]
    route, placement = body["route"], body["placement"]
    if route is not None:
        access = ", public" if route["is_public"] else ""
        lines.append(
            f"queue {route['queue']}, pool {route['pool']}, "
            f"priority {route['priority']}{access}"
        )
        if route["rejection"]:
            lines.append(f"would be rejected: {route['rejection']}")
    if not body["is_scheduling"]:
        named = body["scheduler"] or "none known"
        lines.append(
            "this host does not schedule and knows the queue only; scheduler: " + named
        )
    if placement is None:
        return "\n".join(lines)
    return "\n".join([*lines, *_placement_lines(placement)])


def _placement_lines(placement: Any) -> list[str]:
    lines = []
    if placement["is_submitted"]:
        lines.append(
            f"job {placement['job']}: {placement['state']}, "
            f"queue {placement['queue']}, pool {placement['pool']}"
        )
        if not placement["steps"]:
            lines.append("nothing waits")
    elif placement["rejection"]:
        lines.append(
            f"would be rejected: {placement['rejection']}, "
            f"retry after {placement['retry_after_ms']} ms"
        )
    else:
        lines.append("would be accepted")
    for step in placement["steps"]:
        lines += ["", *_step_lines(step)]
    return lines


def _step_lines(step: Any) -> list[str]:
    name = f"step {step['occurrence']}.{step['step']}"
    if step["hosts"]:
        lines = [f"{name}: starts now on {' '.join(step['hosts'])}"]
    else:
        lines = [f"{name}: waits, {step['reason']}"]
    names = f", first {' '.join(step['ahead_jobs'])}" if step["ahead_jobs"] else ""
    lines.append(
        f"  ahead: {step['ahead']} waiting steps with {step['ahead_cpu']} "
        f"thousandths of a core{names}"
    )
    rows = [*step["excluded"].items()]
    lines.append(f"  hosts of the pool: {step['pool_hosts']}")
    if rows:
        table = render_table(("left out for", "hosts"), rows)
        lines += [f"  {line}" for line in table.splitlines()]
    return lines


def _entry_text(body: Any) -> str:
    long_text = ", long work" if body["is_long"] else ""
    lines = [
        f"generation {body['generation']}",
        f"service {body['service']}, pool {body['pool']}, zone {body['zone']}"
        + long_text,
    ]
    if body["rejection"]:
        retry = body["retry_after_s"]
        after = f", retry after {retry} s" if retry else ""
        lines.append(f"would be refused: {body['rejection']}{after}")
    elif body["chosen"]:
        what = "entry host of another zone" if body["is_other_zone"] else "upstream"
        trial = " as its trial" if body["is_trial"] else ""
        lines.append(f"would be sent to {what} {body['chosen']}{trial}")
    else:
        lines.append(
            f"would wait for {body['expected_wait_ms']} ms behind "
            f"{body['ahead']} requests"
        )
    rows = [
        (
            row["host"],
            row["reason"] or "candidate",
            row["outstanding"],
            row["usable_slots"],
            row["score"],
        )
        for row in body["upstreams"]
    ]
    columns = ("upstream", "state", "outstanding", "slots", "score")
    return "\n".join([*lines, "", render_table(columns, rows)])
