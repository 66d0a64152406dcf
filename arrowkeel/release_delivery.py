"""Decides which standing calls may have ended at their exchange without their release having arrived here.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

An exchange sends the release of a call on the connection of its set-up, or on any open one if that is gone,
and repeats it on the connection that is opened next. So a release is lost only with two connections in a
row: one that ends without having been read to its end, and the next one, which ends before it is confirmed.
A connection is confirmed once it has been open for CONFIRMATION_DELAY_NS after its first message: what the
exchange sends on a new connection comes first.

After each loss of a connection the calls whose release it may have carried are suspected. The suspicion is
dropped when the repetition must have arrived, or when no circuit became free meanwhile, which another
connection would have reported. Otherwise the calls are returned for release: at once if the state of the
group shows that all of them have ended, and at the latest RELEASE_TIMEOUT_NS after the first of them may
have ended.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from arrowkeel.liveness import GroupState

MS = 1_000_000
# The protocol allows 8 s from a call's end to its release; the remainder covers the sweep interval and a
# stalled machine.
RELEASE_TIMEOUT_NS = 7200 * MS
# Longer than a round trip to any exchange and the difference between two connections to it.
CONFIRMATION_DELAY_NS = 250 * MS
MAX_SUSPICIONS = 32  # at one exchange; further losses of connections widen the latest one


@dataclass(slots=True)
class HeldCall:
    """A standing call at this exchange."""

    circuits: int
    established_at_ns: int
    connection: int | None  # on which it was set up; None once that is lost


@dataclass(slots=True)
class OpenConnection:
    """An open connection to the exchange."""

    opened_at_ns: int
    first_received_at_ns: int = 0  # 0 before the first message

    def is_confirmed(self, now_ns: int) -> bool:
        """Whether everything has arrived that the exchange sent when the connection was opened."""
        return self.first_received_at_ns > 0 and now_ns - self.first_received_at_ns >= CONFIRMATION_DELAY_NS


@dataclass(eq=False, slots=True)
class Suspicion:
    """The calls whose release may have been lost with one connection."""

    calls: set[str]
    # From when on a call may have ended without notice, and the same with the difference between connections
    # taken into account: another connection may deliver a message earlier or later than the lost one.
    earliest_end_ns: int
    window_start_ns: int
    lost_at_ns: int  # when the connection was lost
    # The unconfirmed connections on which a lost release may have been repeated.
    carriers: set[int] = field(default_factory=set)
    awaits_connection: bool = True  # the next connection after the loss has not been opened yet
    has_lost_carrier: bool = False  # a connection that may have carried the repetition is lost as well
    has_freed_circuits: bool = False  # circuits became free while a release may have been lost

    def is_settled(self, now_ns: int) -> bool:
        """Whether the exchange knows of the loss, and its reports of the time before have arrived."""
        return now_ns - self.lost_at_ns >= CONFIRMATION_DELAY_NS

    @property
    def is_delivered(self) -> bool:
        """Whether each connection that may have carried a repetition has delivered it."""
        return not (self.awaits_connection or self.has_lost_carrier or self.carriers)

    def merge(self, other: Suspicion) -> None:
        """Makes this suspicion cover the other one, which is of a later loss, as well."""
        self.calls |= other.calls
        self.carriers |= other.carriers
        self.earliest_end_ns = min(self.earliest_end_ns, other.earliest_end_ns)
        self.window_start_ns = min(self.window_start_ns, other.window_start_ns)
        self.lost_at_ns = max(self.lost_at_ns, other.lost_at_ns)
        self.awaits_connection |= other.awaits_connection
        self.has_lost_carrier |= other.has_lost_carrier
        self.has_freed_circuits |= other.has_freed_circuits


class ReleaseDelivery:
    """The standing calls at one exchange, and which of them may have ended without notice.

    `connection` arguments are the numbers of connections, `now_ns` is the current time.
    """

    def __init__(self, is_mesh: bool) -> None:
        # Only in a mesh is each change of the circuit group reported at once.
        self.is_mesh = is_mesh
        self.calls: dict[str, HeldCall] = {}
        self.connections: dict[int, OpenConnection] = {}
        self.suspicions: list[Suspicion] = []
        self.group_state: GroupState | None = None  # the last one received on any connection
        self.freed_at_ns = 0  # when a state with more free circuits than the one before was received
        # Since when the group has lacked the circuits of all calls whose release may be lost; else 0
        self.circuits_missing_since_ns = 0

    # Calls

    def add_call(self, connection: int, call: str, circuits: int, now_ns: int) -> None:
        """Records a standing call that was set up on this connection."""
        self.calls[call] = HeldCall(circuits, now_ns, connection if connection in self.connections else None)

    def remove_call(self, call: str) -> None:
        """Removes a call that is over."""
        self.calls.pop(call, None)
        for suspicion in self.suspicions:
            suspicion.calls.discard(call)
        self.suspicions = [suspicion for suspicion in self.suspicions if suspicion.calls]

    @property
    def suspected_count(self) -> int:
        """The number of calls that may have ended without notice."""
        return len(set().union(*(suspicion.calls for suspicion in self.suspicions)))

    # Connections

    def connection_opened(self, connection: int, now_ns: int) -> None:
        """Records a new connection, on which the exchange repeats the releases since the one before."""
        self.connections[connection] = OpenConnection(now_ns)
        for suspicion in self.suspicions:
            if suspicion.awaits_connection:
                suspicion.awaits_connection = False
                suspicion.carriers.add(connection)

    def message_received(self, connection: int, now_ns: int) -> None:
        """Records a message on a connection."""
        state = self.connections.get(connection)
        if state is not None and not state.first_received_at_ns:
            state.first_received_at_ns = now_ns

    def connection_lost(
        self, connection: int, last_received_at_ns: int, now_ns: int, was_read_to_end: bool
    ) -> int:
        """Suspects the calls whose release may have been lost with this connection.

        `was_read_to_end` says that the exchange closed the connection and everything it sent has arrived.
        Returns the number of standing calls that were set up on the connection.
        """
        state = self.connections.pop(connection, None)
        if state is None:
            return 0
        has_delivered = state.is_confirmed(now_ns) or (was_read_to_end and state.first_received_at_ns > 0)
        for suspicion in self.suspicions:
            if connection in suspicion.carriers:
                suspicion.carriers.discard(connection)
                suspicion.has_lost_carrier |= not has_delivered
        set_up_here = [held for held in self.calls.values() if held.connection == connection]
        for held in set_up_here:
            held.connection = None
        if not was_read_to_end:
            self.suspect_calls(last_received_at_ns, now_ns)
        return len(set_up_here)

    def connection_reset_while_new(self, connection: int, now_ns: int) -> None:
        """Records a connection that was reset as it came up; it may have carried repeated releases."""
        self.connection_opened(connection, now_ns)
        self.connection_lost(connection, now_ns, now_ns, was_read_to_end=False)

    def suspect_calls(self, last_received_at_ns: int, now_ns: int) -> None:
        """Suspects the calls without a connection of their own: any open one may carry their releases."""
        calls = {call for call, held in self.calls.items() if held.connection is None}
        if not calls:
            return
        established_at_ns = min(self.calls[call].established_at_ns for call in calls)
        suspicion = Suspicion(
            calls,
            earliest_end_ns=max(last_received_at_ns, established_at_ns),
            window_start_ns=max(last_received_at_ns - CONFIRMATION_DELAY_NS, established_at_ns),
            lost_at_ns=now_ns,
        )
        suspicion.carriers = {
            number
            for number, other in self.connections.items()
            if other.opened_at_ns > suspicion.window_start_ns and not other.is_confirmed(now_ns)
        }
        suspicion.has_freed_circuits = self.freed_at_ns >= suspicion.window_start_ns
        if self.suspicions and (
            self.suspicions[-1].awaits_connection or len(self.suspicions) >= MAX_SUSPICIONS
        ):
            self.suspicions[-1].merge(suspicion)
        else:
            self.suspicions.append(suspicion)

    def needs_connection(self, now_ns: int) -> bool:
        """Whether a connection has to be opened so that the exchange repeats its releases."""
        self.drop_disproved(now_ns)
        return any(each.awaits_connection and each.is_settled(now_ns) for each in self.suspicions)

    # The state of the circuit group

    def record_group_state(self, state: GroupState, now_ns: int) -> None:
        """Records a reported state of the group; a call that ends frees its circuits."""
        earlier, self.group_state = self.group_state, state
        if earlier is None or state.free_circuits > earlier.free_circuits:
            self.freed_at_ns = now_ns
            for suspicion in self.suspicions:
                suspicion.has_freed_circuits |= not suspicion.is_settled(now_ns)

    def has_witness(self, suspicion: Suspicion) -> bool:
        """Whether an open connection has reported every change of the group since a call may have ended."""
        return (
            self.is_mesh
            and self.group_state is not None
            and self.group_state.group_size > 0
            and any(each.opened_at_ns < suspicion.window_start_ns for each in self.connections.values())
        )

    def are_circuits_missing(self) -> bool:
        """Whether so few circuits are busy that every call whose release is lost must have ended."""
        lost = set().union(*(each.calls for each in self.suspicions if each.has_lost_carrier))
        if not lost or not self.is_mesh or self.group_state is None or self.group_state.group_size <= 0:
            return False
        held_circuits = sum(held.circuits for held in self.calls.values())
        lost_circuits = sum(self.calls[call].circuits for call in lost)
        return held_circuits - self.group_state.busy_circuits >= lost_circuits

    # Decisions

    def drop_disproved(self, now_ns: int) -> None:
        """Drops the suspicions that evidence has disproved."""
        for suspicion in self.suspicions:
            suspicion.carriers = {
                number for number in suspicion.carriers if not self.connections[number].is_confirmed(now_ns)
            }
        self.suspicions = [each for each in self.suspicions if not self.is_disproved(each, now_ns)]

    def is_disproved(self, suspicion: Suspicion, now_ns: int) -> bool:
        """Whether no release of the suspected calls can have been lost."""
        if not suspicion.is_settled(now_ns):
            return False
        if suspicion.is_delivered:
            return True
        return not suspicion.has_freed_circuits and self.has_witness(suspicion)

    def remove_lost_calls(self, now_ns: int) -> list[str]:
        """Removes the calls that must be released as their release may be lost; returns their ids."""
        self.drop_disproved(now_ns)
        if not self.are_circuits_missing():
            self.circuits_missing_since_ns = 0
        elif not self.circuits_missing_since_ns:
            self.circuits_missing_since_ns = now_ns
        have_all_ended = (
            self.circuits_missing_since_ns > 0
            and now_ns - self.circuits_missing_since_ns >= CONFIRMATION_DELAY_NS
        )
        lost: set[str] = set()
        for suspicion in self.suspicions:
            is_overdue = now_ns - suspicion.earliest_end_ns >= RELEASE_TIMEOUT_NS
            if is_overdue or (have_all_ended and suspicion.has_lost_carrier):
                lost |= suspicion.calls
        for call in lost:
            self.remove_call(call)
        return sorted(lost)
