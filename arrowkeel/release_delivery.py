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

Where this side closed the connection, the exchange may take it for open for some time longer and send
releases there (`close_notice`). The next connection then repeats only the releases that were sent before it
was opened. So while a notice of a closed connection is outstanding, each new connection begins another
suspicion, and another connection is due REPEAT_INTERVAL_NS later, until one is opened after the notice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from arrowkeel.close_notice import CloseNotices
from arrowkeel.liveness import GroupState

MS = 1_000_000
# The protocol allows 8 s from a call's end to its release; the remainder covers the sweep interval and a
# stalled machine.
RELEASE_TIMEOUT_NS = 7200 * MS
# Longer than a round trip to any exchange and the difference between two connections to it.
CONFIRMATION_DELAY_NS = 250 * MS
MAX_SUSPICIONS = 32  # at one exchange; further losses of connections widen the latest one
# Between two connections that are opened so that the exchange repeats the releases it sent on a closed one.
REPEAT_INTERVAL_NS = 500 * MS
# Calls of the process before this one may stand, and its connections may end, for this long after the start:
# it may go on beside its successor for the longest deadline of a stop.
PREDECESSOR_NS = 20_000 * MS


class Clearance(Enum):
    """Why suspected calls are known to have lost no release; label of `suspicions_cleared`."""

    DELIVERED = "delivered"  # the connections that may have carried the repetition have delivered it
    NO_CIRCUIT_FREED = "no_circuit_freed"  # another connection reported that no call has ended


@dataclass(frozen=True, slots=True)
class ClearedSuspicion:
    """The calls that are no longer suspected, for the log."""

    clearance: Clearance
    calls: int
    suspected_for_ns: int


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
    last_received_at_ns: int = 0

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
    # The exchange may send releases on a closed connection, until the next one is opened.
    is_notice_outstanding: bool = False

    def is_settled(self, now_ns: int) -> bool:
        """Whether the exchange knows of the loss, and its reports of the time before have arrived."""
        return now_ns - self.lost_at_ns >= CONFIRMATION_DELAY_NS

    def is_at_risk(self, now_ns: int) -> bool:
        """Whether a release that the exchange sends now may be lost."""
        return not self.is_settled(now_ns) or (self.is_notice_outstanding and self.awaits_connection)

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
        self.is_notice_outstanding |= other.is_notice_outstanding


class ReleaseDelivery:
    """The standing calls at one exchange, and which of them may have ended without notice.

    `connection` arguments are the numbers of connections, `now_ns` is the current time.
    """

    def __init__(self, is_mesh: bool, started_at_ns: int = -PREDECESSOR_NS) -> None:
        # Only in a mesh is each change of the circuit group reported at once.
        self.is_mesh = is_mesh
        self.started_at_ns = started_at_ns  # of this process
        self.close_notices = CloseNotices()
        self.opened_at_ns = 0  # when the latest connection was opened; 0 before the first
        self.cleared: list[ClearedSuspicion] = []  # until `take_cleared`
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

    def earliest_end_ns(self, call: str) -> int:
        """The earliest moment at which a call may have ended without notice; 0 if it is not suspected."""
        ends_ns = (each.earliest_end_ns for each in self.suspicions if call in each.calls)
        return min(ends_ns, default=0)

    @property
    def suspected_count(self) -> int:
        """The number of calls that may have ended without notice."""
        return len(set().union(*(suspicion.calls for suspicion in self.suspicions)))

    # Connections

    def connection_opened(self, connection: int, now_ns: int) -> None:
        """Records a new connection, on which the exchange repeats the releases since the one before."""
        self.connections[connection] = OpenConnection(now_ns)
        self.opened_at_ns = now_ns
        for suspicion in self.suspicions:
            if suspicion.awaits_connection:
                suspicion.awaits_connection = False
                suspicion.carriers.add(connection)
        if self.close_notices.are_outstanding(now_ns):
            self.suspect_calls(now_ns, now_ns)

    def message_received(self, connection: int, now_ns: int) -> None:
        """Records a message on a connection."""
        self.close_notices.record_reached(now_ns)
        state = self.connections.get(connection)
        if state is not None:
            state.first_received_at_ns = state.first_received_at_ns or now_ns
            state.last_received_at_ns = now_ns

    def exchange_unreachable(self, now_ns: int) -> None:
        """Records that no connection works and none comes up: the network may be cut.

        A process that has just started counts its predecessor's connections as closed at this moment.
        """
        self.close_notices.record_unreachable(now_ns)
        is_young = now_ns - self.started_at_ns < PREDECESSOR_NS
        if is_young and not self.close_notices.are_outstanding(now_ns):
            self.close_notices.add(now_ns)

    def connection_lost(
        self,
        connection: int,
        last_received_at_ns: int,
        now_ns: int,
        was_read_to_end: bool,
        closed_with_output_since_ns: int = 0,
    ) -> int:
        """Suspects the calls whose release may have been lost with this connection.

        `was_read_to_end` says that the exchange closed the connection and everything it sent has arrived.
        `closed_with_output_since_ns` is not 0 where this side closed it: since when what it sent may not have
        arrived. Returns the number of standing calls that were set up on the connection.
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
        if closed_with_output_since_ns and not was_read_to_end:
            self.close_notices.add(closed_with_output_since_ns)
        if not was_read_to_end:
            self.suspect_calls(last_received_at_ns, now_ns)
        elif self.close_notices.are_outstanding(now_ns):
            self.suspect_calls(now_ns, now_ns)  # the exchange may choose a closed connection for them
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
            is_notice_outstanding=self.close_notices.are_outstanding(now_ns),
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
        return any(
            each.awaits_connection and self.is_repetition_due(each, now_ns) for each in self.suspicions
        ) or self.needs_predecessors_releases(now_ns)

    def is_repetition_due(self, suspicion: Suspicion, now_ns: int) -> bool:
        """Whether a connection opened now would bring the releases that this suspicion is about.

        The first one after a loss is due at once, further ones at intervals while a notice is outstanding.
        """
        if not suspicion.is_settled(now_ns):
            return False
        witnessed_until_ns = 0 if suspicion.has_freed_circuits else self.witnessed_until_ns(suspicion)
        known_until_ns = max(self.opened_at_ns, witnessed_until_ns)
        if known_until_ns < suspicion.lost_at_ns:
            return True
        if self.close_notices.are_outstanding(now_ns):
            return now_ns - known_until_ns >= REPEAT_INTERVAL_NS
        # A connection that has been open all the time may still bring a message that spares a new one.
        is_witness_overdue = now_ns - self.close_notices.last_arrival_ns >= CONFIRMATION_DELAY_NS
        return suspicion.has_freed_circuits or is_witness_overdue

    def needs_predecessors_releases(self, now_ns: int) -> bool:
        """Whether releases of calls that are unknown here may be lost: those of the process before this one.

        No suspicion stands for them, so that connections are opened at intervals and after the last notice.
        """
        if now_ns - self.started_at_ns >= PREDECESSOR_NS or not self.opened_at_ns:
            return False
        if self.close_notices.are_outstanding(now_ns):
            return now_ns - self.opened_at_ns >= REPEAT_INTERVAL_NS
        return self.opened_at_ns < self.close_notices.last_arrival_ns

    # The state of the circuit group

    def record_group_state(self, state: GroupState, now_ns: int) -> None:
        """Records a reported state of the group; a call that ends frees its circuits."""
        earlier, self.group_state = self.group_state, state
        if earlier is None or state.free_circuits > earlier.free_circuits:
            self.freed_at_ns = now_ns
            for suspicion in self.suspicions:
                suspicion.has_freed_circuits |= suspicion.is_at_risk(now_ns)

    def witnessed_until_ns(self, suspicion: Suspicion) -> int:
        """Until when open connections have reported every change of the group since a call may have ended.

        0 if none has. Where this side closed the connection the network may be cut, and then the silence of
        the others proves nothing: only what they delivered since does.
        """
        if not self.is_mesh or self.group_state is None or self.group_state.group_size <= 0:
            return 0
        witnesses = [
            each for each in self.connections.values() if each.opened_at_ns < suspicion.window_start_ns
        ]
        if not suspicion.is_notice_outstanding:
            return suspicion.lost_at_ns + CONFIRMATION_DELAY_NS if witnesses else 0
        return max((each.last_received_at_ns for each in witnesses), default=0) - CONFIRMATION_DELAY_NS

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
        kept: list[Suspicion] = []
        for suspicion in self.suspicions:
            clearance = self.find_clearance(suspicion, now_ns)
            if clearance is None:
                kept.append(suspicion)
            elif (
                clearance is Clearance.NO_CIRCUIT_FREED
                and suspicion.awaits_connection
                and self.close_notices.are_outstanding(now_ns)
            ):
                self.advance(suspicion)
                kept.append(suspicion)
            else:
                self.cleared.append(
                    ClearedSuspicion(clearance, len(suspicion.calls), now_ns - suspicion.lost_at_ns)
                )
        self.suspicions = kept

    def find_clearance(self, suspicion: Suspicion, now_ns: int) -> Clearance | None:
        """Why no release of the suspected calls can have been lost up to now; None if one can."""
        if not suspicion.is_settled(now_ns):
            return None
        if suspicion.is_delivered:
            return Clearance.DELIVERED
        at_risk_until_ns = suspicion.lost_at_ns
        if suspicion.is_notice_outstanding and not self.close_notices.are_outstanding(now_ns):
            at_risk_until_ns = max(at_risk_until_ns, self.close_notices.last_arrival_ns)
        if not suspicion.has_freed_circuits and self.witnessed_until_ns(suspicion) >= at_risk_until_ns:
            return Clearance.NO_CIRCUIT_FREED
        return None

    def advance(self, suspicion: Suspicion) -> None:
        """Moves the begin of a suspicion up to where no call has ended, as the exchange has no notice yet."""
        witnessed_until_ns = self.witnessed_until_ns(suspicion)
        suspicion.earliest_end_ns = max(suspicion.earliest_end_ns, witnessed_until_ns)
        suspicion.window_start_ns = max(suspicion.window_start_ns, witnessed_until_ns)

    def take_cleared(self) -> list[ClearedSuspicion]:
        """Returns the suspicions that were dropped since the last call."""
        cleared, self.cleared = self.cleared, []
        return cleared

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
