"""Decides whether the process that holds the standing calls at one exchange is still alive.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

When a machine vanishes, its connections stay open, and the process that answers at its address later may be
a new one that knows none of the earlier calls. Silence is therefore never evidence that a process is alive.
Standing calls are held under a lease, and only evidence from the process that holds them renews it:

- any data received on a connection to that process;
- any data received on another connection that the same process is known to have accepted;
- a refused dial while a connection to that process is open, shortly after the last evidence from it.

Connections are grouped by the process behind them, with one `ProcessLease` for each group. A new connection
starts a group of its own. Two groups are merged once evidence shows that the same process is behind both; the
methods of `ExchangeLiveness` describe that evidence.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

MS = 1_000_000
# The protocol allows 8 s from a call's end to its release; the remainder covers the sweep interval and a
# stalled machine. After a network cut of 6 s there is still time for a dial before the lease expires.
LEASE_DURATION_NS = 7200 * MS
# A restarted process needs about this long before it accepts connections and holds as many calls again.
MIN_RESTART_NS = 500 * MS
# Data received after such a long silence may have been written long before and delayed in the network. It
# counts as evidence only if its connection then stays open for CONFIRMATION_DELAY_NS: the connection of a
# process that has ended in the meantime does not.
LONG_SILENCE_NS = 1000 * MS
CONFIRMATION_DELAY_NS = 500 * MS
# A group state or a refused dial counts as evidence only if the last evidence is no older than this: a dial
# after an idle period comes within this time, a machine that was lost for 5 s does not return within it.
MAX_EVIDENCE_AGE_NS = 4500 * MS


@dataclass(frozen=True, slots=True)
class GroupState:
    """The state of the circuit group to an exchange, as reported on one connection."""

    free_circuits: int
    group_size: int

    @property
    def busy_circuits(self) -> int:
        """The circuits of the group that carry calls."""
        return self.group_size - self.free_circuits


@dataclass(frozen=True, slots=True)
class UnconfirmedEvidence:
    """Data received after a long silence: on which connection and when."""

    connection: int
    received_at_ns: int


@dataclass(eq=False, slots=True)
class ProcessLease:
    """The connections to one process of the exchange, and the standing calls that it holds."""

    last_evidence_at_ns: int
    connections: dict[int, int] = field(default_factory=dict)  # open ones: number -> opened at (ns)
    calls: dict[str, int] = field(default_factory=dict)  # standing ones: call id -> circuits
    group_state: GroupState | None = None  # the last one reported on any of its connections
    closed_by_peer_at_ns: int = 0  # when its latest connection ended; 0 if this side ended it
    has_dial_timeout: bool = False  # a dial has timed out since the last evidence
    unconfirmed: UnconfirmedEvidence | None = None

    @property
    def held_circuits(self) -> int:
        """The number of circuits that the standing calls of this process use."""
        return sum(self.calls.values())

    def expires_at_ns(self) -> int:
        """When the lease expires; pending evidence extends it until it is confirmed or dropped."""
        expires_at_ns = self.last_evidence_at_ns + LEASE_DURATION_NS
        return (
            expires_at_ns
            if self.unconfirmed is None
            else max(expires_at_ns, self.unconfirmed.received_at_ns + CONFIRMATION_DELAY_NS)
        )


class ExchangeLiveness:
    """The leases of the processes at one exchange's address.

    A lease is kept as long as its process has open connections or standing calls. `connection` arguments are
    the numbers of connections, `now_ns` is the current time.
    """

    def __init__(self, is_mesh: bool) -> None:
        # Only in a mesh does the state of a circuit group reflect this controller's calls alone.
        self.is_mesh = is_mesh
        self.leases: list[ProcessLease] = []  # oldest first

    def find_lease(self, connection: int) -> ProcessLease | None:
        """The lease that an open connection belongs to."""
        return next((lease for lease in self.leases if connection in lease.connections), None)

    def has_standing_calls(self) -> bool:
        """Whether any process holds a call."""
        return any(lease.calls for lease in self.leases)

    def add_connection(self, connection: int, now_ns: int) -> None:
        """Starts a lease for a new connection."""
        self.leases.append(ProcessLease(now_ns, {connection: now_ns}))

    def remove_connection(self, connection: int, now_ns: int, by_peer: bool) -> None:
        """Removes a connection, and unconfirmed evidence that was received on it."""
        lease = self.find_lease(connection)
        if lease is None:
            return
        del lease.connections[connection]
        if lease.unconfirmed is not None and lease.unconfirmed.connection == connection:
            lease.unconfirmed = None
        lease.closed_by_peer_at_ns = now_ns if by_peer else 0
        self.remove_empty_leases()

    def record_evidence(self, connection: int, now_ns: int) -> None:
        """Renews the lease of a connection that has received data; after a long silence once confirmed."""
        lease = self.find_lease(connection)
        if lease is None:
            return
        if lease.calls and now_ns - lease.last_evidence_at_ns > LONG_SILENCE_NS:
            lease.unconfirmed = lease.unconfirmed or UnconfirmedEvidence(connection, now_ns)
            self.renew_if_confirmed(lease, now_ns)
        else:
            self.renew(lease, connection, now_ns)

    def renew_if_confirmed(self, lease: ProcessLease, now_ns: int) -> None:
        """Renews a lease whose unconfirmed evidence is old enough, on a connection that is still open."""
        evidence = lease.unconfirmed
        if evidence is not None and now_ns - evidence.received_at_ns >= CONFIRMATION_DELAY_NS:
            self.renew(lease, evidence.connection, evidence.received_at_ns)

    def renew(self, lease: ProcessLease, connection: int, received_at_ns: int) -> None:
        """Renews a lease with evidence from one of its connections.

        The process was alive at that moment, so it had also accepted each connection that was opened between
        the start of this connection and that moment. The leases of those connections become one with it.
        """
        lease.last_evidence_at_ns, lease.has_dial_timeout, lease.unconfirmed = received_at_ns, False, None
        opened_at_ns = lease.connections[connection]
        for other in [other for other in self.leases if other is not lease]:
            if any(
                opened_at_ns < other_opened_at_ns <= received_at_ns
                for other_opened_at_ns in other.connections.values()
            ):
                self.merge(lease, other)

    def add_call(self, connection: int, call: str, circuits: int) -> None:
        """Records a standing call at the process behind this connection."""
        lease = self.find_lease(connection)
        if lease is not None:
            lease.calls[call] = circuits

    def remove_call(self, call: str) -> None:
        """Removes a call that is over, whichever process held it."""
        for lease in self.leases:
            lease.calls.pop(call, None)
        self.remove_empty_leases()

    def record_normal_end(self, connection: int, call: str) -> None:
        """Uses the normal end of a call, reported on this connection, as evidence.

        Only the process that held the call can know of that end, so this connection leads to that process.
        """
        receiving = self.find_lease(connection)
        holding = next((lease for lease in self.leases if call in lease.calls), None)
        if receiving is not None and holding is not None and holding is not receiving:
            self.merge(holding, receiving)

    def record_group_state(self, connection: int, state: GroupState, now_ns: int) -> None:
        """Stores a reported group state, and merges the earlier leases whose process it shows to be this one.

        A process that has just started holds no calls, and the group state shows how many circuits are busy.
        So a state with enough busy circuits identifies the earlier process, if there was too little time for
        another process to hold as many.
        """
        current = self.find_lease(connection)
        if current is None:
            return
        current.group_state = state
        if not self.is_mesh:
            return
        for earlier in [lease for lease in self.leases if lease is not current and lease.calls]:
            if self.is_same_process(state, earlier, now_ns):
                self.merge(earlier, current)
                current = earlier

    def is_same_process(self, state: GroupState, earlier: ProcessLease, now_ns: int) -> bool:
        """Whether a group state from a newer connection shows that the process of an earlier lease lives."""
        if (
            state.busy_circuits < earlier.held_circuits
            or now_ns - earlier.last_evidence_at_ns > MAX_EVIDENCE_AGE_NS
        ):
            return False
        if earlier.connections:  # open and idle: a change of state would have been reported there too
            return state == earlier.group_state
        return now_ns - earlier.closed_by_peer_at_ns < MIN_RESTART_NS

    def record_dial_timeout(self) -> None:
        """Marks all leases: the machine may be gone, and what answers later may be another process."""
        for lease in self.leases:
            lease.has_dial_timeout = True

    def record_refused_dial(self, usable_connections: Collection[int], now_ns: int) -> bool:
        """Renews leases because a dial was refused; returns whether the refusal counted as evidence for any.

        A draining process, for example, accepts no new connections. The refusal shows that the machine is up,
        and on a running machine the connections of a process end when it dies. So an open connection that is
        not unresponsive (`usable_connections`) has a live process behind it.

        The drawback: if a process dies during a short network cut that hides the end of its connections, its
        calls are held until the list of exchanges reports its end.
        """
        is_evidence = False
        for lease in self.leases:
            is_recent = (
                now_ns - lease.last_evidence_at_ns <= MAX_EVIDENCE_AGE_NS and not lease.has_dial_timeout
            )
            if is_recent and any(connection in lease.connections for connection in usable_connections):
                lease.last_evidence_at_ns, is_evidence = now_ns, True
        return is_evidence

    def must_keep_open(self, connection: int) -> bool:
        """Whether closing the connection would lose evidence about a process that holds calls.

        That is so if it is the only connection to that process, or if it brought unconfirmed evidence.
        """
        lease = self.find_lease(connection)
        if lease is None or not lease.calls:
            return False
        has_unconfirmed = lease.unconfirmed is not None and lease.unconfirmed.connection == connection
        return has_unconfirmed or len(lease.connections) == 1

    def remove_expired_calls(self, now_ns: int) -> list[str]:
        """Removes the calls whose lease has expired and returns their ids, sorted."""
        expired: list[str] = []
        for lease in list(self.leases):
            self.renew_if_confirmed(lease, now_ns)
        for lease in self.leases:
            if lease.calls and now_ns > lease.expires_at_ns():
                expired += lease.calls
                lease.calls.clear()
        self.remove_empty_leases()
        return sorted(expired)

    def merge(self, lease: ProcessLease, other: ProcessLease) -> None:
        """Merges `other` into `lease`: the same process is behind the connections of both."""
        if other.last_evidence_at_ns >= lease.last_evidence_at_ns:
            lease.last_evidence_at_ns, lease.group_state = (
                other.last_evidence_at_ns,
                other.group_state or lease.group_state,
            )
        lease.connections |= other.connections
        lease.calls |= other.calls
        self.leases.remove(other)

    def remove_empty_leases(self) -> None:
        """Removes the leases that have neither connections nor calls any more."""
        self.leases = [lease for lease in self.leases if lease.connections or lease.calls]
