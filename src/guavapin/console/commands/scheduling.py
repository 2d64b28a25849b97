"""``guavapin scheduling``: queues and hosts, or one job, of the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.render import render_table

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


class SchedulingCommand:
    """Show the queues and hosts of the scheduler, or one job."""

    name = "scheduling"
    summary = "show queues and hosts of the scheduler, or why a job waits"
    description = """\
Show the scheduler's queues and hosts and the images that slow down others beside them,
or one job with its steps and what it waits for.
--url is the peer address of an entry host; one that does not schedule names the one
that does.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the job."""
        parser.add_argument("--job", default="", help="id of a job")

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read and render the queues and hosts, or the job."""
        if args.job:
            path = f"/v1/scheduling/jobs/{args.job}"
            return console.finish(console.client.get(path), _job_text)
        return console.finish(console.client.get("/v1/scheduling"), _overview_text)


def _overview_text(body: Any) -> str:
    queues = [
        (row["queue"], row["pool"], row["waiting"], row["running"])
        for row in body["queues"]
    ]
    hosts = [
        (row["executor"], row["pool"], row["runs"], row["free_cpu"], row["state"])
        for row in body["hosts"]
    ]
    tables = [
        f"token {body['token']}",
        render_table(("queue", "pool", "waiting", "running"), queues),
        render_table(("executor", "pool", "runs", "free cpu", "state"), hosts),
    ]
    if body.get("organisations"):
        tables.append(_organisations_text(body["organisations"]))
    if body.get("pairs"):
        tables.append(_pairs_text(body["pairs"]))
    return "\n\n".join(tables)


def _organisations_text(rows: Any) -> str:
    cells = [
        (
            row["organisation"],
            row["runs"],
            _amount(row["running"]),
            _amount(row["possible"]),
            _amount(row["cap"]),
            f"{row['share']:.0%} of {row['weighted_share']:.0%}",
            row["jobs"],
            row["waiting"],
            "yes" if row["is_held"] else "no",
            "; ".join(f"{count} {reason}" for reason, count in row["rejected"]) or "-",
        )
        for row in rows
    ]
    columns = (
        *("organisation", "runs", "running", "at most", "cap", "share"),
        *("jobs", "waiting", "held", "rejected"),
    )
    return render_table(columns, cells)


def _amount(row: Any) -> str:
    return f"{row['cpu_millis']}/{row['memory_mb']}/{row['gpus']}"


def _pairs_text(pairs: list[Any]) -> str:
    rows = [
        (
            row["image"],
            row["neighbour"],
            f"{row['slowdown']:.2f}",
            row["measure"],
            f"{row['confidence']:.1%}",
            row["executors"],
            row["samples"],
            row["renewed_ms"],
        )
        for row in pairs
    ]
    columns = ("image", "slowed by", "times", "measure", "confidence")
    return render_table((*columns, "executors", "samples", "ms ago"), rows)


def _job_text(body: Any) -> str:
    head = f"job {body['job']}: {body['state']}, {body['age_ms']} ms, {body['reason']}"
    steps = [
        (
            f"{row['occurrence']}.{row['step']}",
            f"{row['done']}/{row['count']}",
            row["running"],
            row["waiting"],
            row["failures"],
            " ".join(row["hosts"]),
        )
        for row in body["steps"]
    ]
    columns = ("step", "done", "running", "waiting", "failures", "hosts")
    return f"{head}\n\n{render_table(columns, steps)}"
