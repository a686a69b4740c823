"""Cost of the state folded from the log: tables, checkpoints, directories, records."""

from __future__ import annotations

from types import SimpleNamespace

import cbor2

from skylarktrail.config.operator_file import is_valid
from skylarktrail.core.checkpoints import LogWindow, make_checkpoint
from skylarktrail.core.follower import LogFollower
from skylarktrail.core.hashing import HASH_SPACE
from skylarktrail.core.owner_directory import OwnerDirectory
from skylarktrail.core.records import Assign, Envelope, Placement, Publish
from skylarktrail.core.slices import SliceTable
from skylarktrail.core.state import State
from skylarktrail.daemon.controller import Controller
from skylarktrail.providers.record_codec import decode, encode

from .capacity_meter import REPEATS, Figure, cpu_us, memory_bytes, section
from .capacity_site import INCARNATION, SERVICE, build_site, make_file

SLICE_COUNTS = (1_000, 10_000, 100_000, 1_000_000)
MEMBER_COUNTS = (1, 10, 100, 460)
SERVICE_COUNTS = (1, 10, 100)
GROUP_COUNT = 460
DAEMON_COUNT = 460
SERVER_COUNT = 750
LOOKUP_COUNT = 20_000
RECORD_COUNT = 100
ONCE = 1


def _load_state(data: bytes) -> State:
    state = State(is_valid)
    state.load(cbor2.loads(data))
    return state


def _look_up_owners(directory: OwnerDirectory) -> None:
    step = HASH_SPACE // LOOKUP_COUNT
    for key_hash in range(0, HASH_SPACE, step):
        directory.owner(SERVICE, key_hash)


def _update_after_assign(directory: OwnerDirectory, state: State) -> None:
    group = f"{SERVICE}/0"
    granter_term = state.granter_terms[group]
    state.granter_terms[group] = granter_term._replace(seq=granter_term.seq + 1)
    directory.update(state)


@section("slices")
def measure_slices() -> list[Figure]:
    """Measures tables, checkpoints and directories by the number of slices."""
    figures: list[Figure] = []
    for slices in SLICE_COUNTS:
        groups = min(GROUP_COUNT, slices)

        def add_figure(quantity: str, value: float, unit: str) -> None:
            figures.append(Figure(quantity, "slices", slices, value, unit))

        table_bytes = memory_bytes(
            lambda: SliceTable.build_even(SERVICE, slices, groups)
        )
        add_figure("SliceTable.build_even, memory", table_bytes, "bytes")
        state = build_site(slices, groups, DAEMON_COUNT, SERVER_COUNT, 1).state
        data = cbor2.dumps(state.dump())
        add_figure("checkpoint, size", len(data), "bytes")
        loaded_bytes = memory_bytes(lambda: _load_state(data))
        add_figure("state loaded from a checkpoint, memory", loaded_bytes, "bytes")
        add_figure("State.dump, time", cpu_us(state.dump, repeats=ONCE), "us")
        add_figure(
            "State.load after CBOR, time", cpu_us(lambda: _load_state(data)), "us"
        )
        envelope = Envelope("router-0", INCARNATION, 1, make_checkpoint(state))
        add_figure("checkpoint encode, time", cpu_us(lambda: encode(envelope)), "us")
        directory = OwnerDirectory()
        add_figure(
            "OwnerDirectory, memory",
            memory_bytes(lambda: directory.update(state)),
            "bytes",
        )
        unchanged_us = cpu_us(lambda: directory.update(state))
        add_figure("OwnerDirectory.update, nothing changed, time", unchanged_us, "us")
        changed_us = cpu_us(lambda: _update_after_assign(directory, state))
        add_figure("OwnerDirectory.update after one Assign, time", changed_us, "us")
        lookup_us = cpu_us(lambda: _look_up_owners(directory), LOOKUP_COUNT)
        add_figure("OwnerDirectory.owner, time", lookup_us, "us")
    return figures


def _make_assign_records(state: State, count: int) -> list[tuple[int, Envelope]]:
    """Returns offsets and records that each assign one slice of the first group."""
    start = next(iter(state.tables[SERVICE])).start
    granter_term = state.granter_terms[f"{SERVICE}/0"]
    first_seq = state.members[granter_term.granter].last_seq
    first_offset = state.next_offset
    return [
        (
            first_offset + index,
            Envelope(
                granter_term.granter,
                INCARNATION,
                first_seq + 1 + index,
                Assign(
                    f"{SERVICE}/0",
                    granter_term.term,
                    granter_term.seq + 1 + index,
                    (Placement(start, "server-1"),),
                ),
            ),
        )
        for index in range(count)
    ]


def _apply_us(state: State) -> float:
    records = _make_assign_records(state, RECORD_COUNT)

    def apply_records() -> None:
        for offset, envelope in records:
            state.apply(offset, envelope)

    return cpu_us(apply_records, RECORD_COUNT, ONCE)


def _handle_read_once_us(state: State) -> float:
    records = _make_assign_records(state, RECORD_COUNT)
    from_offset = state.next_offset
    window = LogWindow(1, from_offset + RECORD_COUNT)
    follower = LogFollower(state)
    return cpu_us(
        lambda: follower.handle_read(from_offset, window, records), RECORD_COUNT, ONCE
    )


def _handle_read_us(state: State) -> float:
    return min(_handle_read_once_us(state) for _ in range(REPEATS))


def _record_terms_us(state: State) -> float:
    terms = {
        group: granter_term.term for group, granter_term in state.granter_terms.items()
    }
    controller = SimpleNamespace(_state=state, _recorded_terms=terms, _changes=None)
    call_count = 200

    def record_terms() -> None:
        for _ in range(call_count):
            Controller._record_terms(controller)

    return cpu_us(record_terms, call_count)


@section("records")
def measure_records() -> list[Figure]:
    """Measures the cost of one record and of one event by the size of the roster."""
    figures = []
    for members in MEMBER_COUNTS:
        state = build_site(members * 36, members, members, 750, members).state
        envelope = _make_assign_records(state, 1)[0][1]
        data = encode(envelope)
        values = {
            "State.apply of one Assign, time": _apply_us(state),
            "LogFollower.handle_read, each record, time": _handle_read_us(state),
            "Controller._record_terms, each event, time": _record_terms_us(state),
            "decode of one Assign, time": cpu_us(
                lambda: [decode(data) for _ in range(RECORD_COUNT)], RECORD_COUNT
            ),
        }
        figures += [
            Figure(quantity, "daemons", members, value, "us")
            for quantity, value in values.items()
        ]
        figures.append(Figure("Assign, size", "daemons", members, len(data), "bytes"))
    return figures


@section("files")
def measure_files() -> list[Figure]:
    """Measures the validation and the size of an operator file."""
    figures = []
    for services in SERVICE_COUNTS:
        file = make_file(16_384, 460, 460, services)
        if not is_valid(file):
            raise ValueError("the operator file of the benchmark is invalid")
        data = encode(Envelope("operator", INCARNATION, 1, Publish("p", 0, file)))
        check_us = cpu_us(lambda: is_valid(file))
        figures.append(
            Figure("operator file, check", "services", services, check_us, "us")
        )
        figures.append(
            Figure("operator file, size", "services", services, len(data), "bytes")
        )
    return figures
