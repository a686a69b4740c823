"""The status page for operators: one HTML document without scripts."""

from __future__ import annotations

from datetime import datetime, timezone
from html import escape
from typing import Any, Callable, Iterable, Sequence

from .status import GroupSummary, StatusSnapshot

REFRESH_S = 2

_STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5em; color: #222; }
h1 { font-size: 1.4em; margin: 0 0 .2em; }
h2 { font-size: 1.1em; margin: 1.4em 0 .3em; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: .15em .9em .15em 0; vertical-align: top; }
th { border-bottom: 1px solid #999; font-weight: 600; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #a00; font-weight: 600; }
.good { color: #060; }
""".strip()

Section = Callable[[StatusSnapshot], str]
SECTIONS: list[tuple[str, Section]] = []


def section(title: str) -> Callable[[Section], Section]:
    """Registers a section of the page; sections keep the order of declaration."""

    def register(render: Section) -> Section:
        SECTIONS.append((title, render))
        return render

    return register


def render_page(status: StatusSnapshot) -> str:
    """Returns the page, in which all values are escaped."""
    name = escape(status.daemon)
    parts = [f"<h2>{title}</h2>\n{render(status)}" for title, render in SECTIONS]
    return "\n".join(
        [
            "<!DOCTYPE html>",
            '<html lang="en">',
            '<head><meta charset="utf-8">',
            f'<meta http-equiv="refresh" content="{REFRESH_S}">',
            f"<title>{name}: skylarktrail</title>",
            f"<style>{_STYLE}</style></head>",
            f"<body>\n<h1>{name}</h1>",
            _summary(status),
            *parts,
            "</body></html>",
        ]
    )


def _summary(status: StatusSnapshot) -> str:
    badges = [
        _badge(status.is_ready, "ready", "not ready"),
        _badge(status.log.is_up, "log up", "log down"),
        _badge(status.is_confirmed, "confirmed", "unconfirmed"),
    ]
    if status.is_draining:
        badges.append('<span class="bad">draining</span>')
    return f"<p>{' · '.join(badges)}</p>"


def _badge(is_good: bool, good: str, bad: str) -> str:
    style, text = ("good", good) if is_good else ("bad", bad)
    return f'<span class="{style}">{text}</span>'


def _table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    lines = [_row("th", headers)]
    lines += [_row("td", row) for row in rows]
    if len(lines) == 1:
        return "<p>None.</p>"
    return "<table>\n" + "\n".join(lines) + "\n</table>"


def _row(tag: str, cells: Sequence[Any]) -> str:
    return "<tr>" + "".join(_cell(tag, cell) for cell in cells) + "</tr>"


def _cell(tag: str, value: Any) -> str:
    if isinstance(value, bool):
        value = "yes" if value else "no"
    is_number = isinstance(value, (int, float))
    style = ' class="number"' if is_number else ""
    return f"<{tag}{style}>{escape(_format(value))}</{tag}>"


def _format(value: Any) -> str:
    if value is None or value == "":
        return "–"
    return f"{value:.1f}" if isinstance(value, float) else str(value)


@section("Daemon")
def _daemon(status: StatusSnapshot) -> str:
    log = status.log
    rows = [
        ("zone", status.zone),
        ("incarnation", status.incarnation),
        ("up for, s", status.uptime_ms / 1000),
        ("revision in force", status.revision),
        ("next offset", status.next_offset),
        ("log read, ms ago", log.read_age_ms),
        ("own records not read back", log.appends_waiting),
        ("fault of the log", log.fault),
    ]
    return _table(("field", "value"), rows)


@section("Zones")
def _zones(status: StatusSnapshot) -> str:
    return _table(("zone", "state"), status.zones)


@section("Daemons of the site")
def _members(status: StatusSnapshot) -> str:
    headers = ("daemon", "zone", "incarnation", "linked", "silent, ms")
    return _table(headers, status.members)


@section("Granter groups")
def _groups(status: StatusSnapshot) -> str:
    headers = (
        "group",
        "term",
        "granter",
        "heir",
        "here",
        "confirmed",
        "unserved slices",
        "provisional slices",
    )
    return _table(headers, (_group_row(group) for group in status.groups))


def _group_row(group: GroupSummary) -> Sequence[Any]:
    own = group.role == "granter"
    return (*group[:5], group.is_confirmed if own else "", *group[6:])


@section("Slices by server")
def _servers(status: StatusSnapshot) -> str:
    return _table(("service", "server", "zone", "slices"), status.servers)


@section("Services")
def _services(status: StatusSnapshot) -> str:
    headers = (
        "service",
        "waiting",
        "in flight",
        "limit",
        "first tries",
        "retries",
        "hedges",
        "refusals",
        "p50, ms",
        "p95, ms",
    )
    return _table(headers, (service[: len(headers)] for service in status.services))


@section("Servers and upstreams")
def _instances(status: StatusSnapshot) -> str:
    headers = (
        "service",
        "instance",
        "zone",
        "state",
        "in flight",
        "limit",
        "latency, ms",
        "sheds",
    )
    rows = (
        (service.name, *instance)
        for service in status.services
        for instance in service.instances
    )
    return _table(headers, rows)


@section("Tenants")
def _tenants(status: StatusSnapshot) -> str:
    return _table(("tenant", "answered", "not run", "unknown"), status.tenants)


@section("Latest changes of state")
def _changes(status: StatusSnapshot) -> str:
    rows = ((_format_time(c.at_ms), c.event, c.detail) for c in status.changes)
    return _table(("at, UTC", "change", "detail"), rows)


def _format_time(at_ms: float) -> str:
    timestamp = datetime.fromtimestamp(at_ms / 1000, timezone.utc)
    return timestamp.strftime("%H:%M:%S.%f")[:-3]
