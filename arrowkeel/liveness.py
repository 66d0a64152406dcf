"""Whether the process that holds the calls standing on one exchange can still be taken to be alive.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

A machine that vanishes says nothing: its connections stay open, and whatever answers at its address later may
be another process that knows none of its calls. Silence must therefore never count as life. Calls are held
under a lease, which only evidence from the process that holds them renews:

- anything heard on a connection that leads to that process;
- anything heard on a connection of which it is shown that the same process has accepted it;
- a refused dial while a connection to that process is open, soon after it was last heard.

Connections are grouped by the process behind them (`ProcessLease`). A new connection starts a group of its
own. Two groups are merged once something shows that one process is behind both, as the methods of
`ExchangeLiveness` tell.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

MS = 1_000_000
# The protocol gives 8 s from a call's end to its release; the rest is for the sweep and a stalled machine. A
# network cut of 6 s still leaves time for a dial before the lease ends.
LEASE_NS = 7200 * MS
# A process that starts anew needs about as long before it takes connections and holds as many calls again.
RESTART_LEAST_NS = 500 * MS
# After so long a silence what is heard may have been written long before, and only now got through: it counts
# once its connection has stayed open for a while, as that of a process that has ended meanwhile does not.
LONG_SILENCE_NS = 1000 * MS
CONFIRM_NS = 500 * MS
# How old the last evidence may be where the group's state vouches for a process: a dial after a quiet time
# comes within it, a machine that was lost for 5 s does not return within it.
VOUCH_NS = 4500 * MS


@dataclass(frozen=True, slots=True)
class GroupState:
    """The circuits of the group to an exchange, as told on one connection."""

    free: int
    size: int

    @property
    def used(self) -> int:
        return self.size - self.free


@dataclass(frozen=True, slots=True)
class Sign:
    """Something heard after a long silence, on which connection and when."""

    connection: int
    heard_ns: int


@dataclass(eq=False, slots=True)
class ProcessLease:
    """The connections to one process of the exchange, and the calls that it holds."""

    heard_ns: int
    connections: dict[int, int] = field(default_factory=dict)  # open ones: number, when it was opened
    calls: dict[str, int] = field(default_factory=dict)  # standing ones: id, circuits
    state: GroupState | None = None  # as last told on any of its connections
    ended_by_peer_ns: int = 0  # when the last connection was ended by the other side
    unreached: bool = False  # a dial has timed out since anything was heard
    sign: Sign | None = None  # heard, and not confirmed yet

    @property
    def circuits(self) -> int:
        return sum(self.calls.values())

    def expires_ns(self) -> int:
        expires_ns = self.heard_ns + LEASE_NS
        return expires_ns if self.sign is None else max(expires_ns, self.sign.heard_ns + CONFIRM_NS)


class ExchangeLiveness:
    """The leases of all processes that have answered at one exchange's address and still matter."""

    def __init__(self, is_mesh: bool) -> None:
        self.is_mesh = is_mesh  # only there does a group's state tell of this controller's own calls
        self.leases: list[ProcessLease] = []  # the earliest first

    def lease_of(self, connection: int) -> ProcessLease | None:
        return next((lease for lease in self.leases if connection in lease.connections), None)

    def has_calls(self) -> bool:
        return any(lease.calls for lease in self.leases)

    def opened(self, connection: int, now_ns: int) -> None:
        self.leases.append(ProcessLease(now_ns, {connection: now_ns}))

    def closed(self, connection: int, now_ns: int, by_peer: bool) -> None:
        lease = self.lease_of(connection)
        if lease is None:
            return
        del lease.connections[connection]
        if lease.sign is not None and lease.sign.connection == connection:
            lease.sign = None
        lease.ended_by_peer_ns = now_ns if by_peer else 0
        self.forget_empty()

    def heard(self, connection: int, now_ns: int) -> None:
        """Renews a lease; after a long silence only once it is confirmed."""
        lease = self.lease_of(connection)
        if lease is None:
            return
        if lease.calls and now_ns - lease.heard_ns > LONG_SILENCE_NS:
            lease.sign = lease.sign or Sign(connection, now_ns)
            self.confirm(lease, now_ns)
        else:
            self.renew(lease, connection, now_ns)

    def confirm(self, lease: ProcessLease, now_ns: int) -> None:
        sign = lease.sign
        if sign is not None and now_ns - sign.heard_ns >= CONFIRM_NS:
            self.renew(lease, sign.connection, sign.heard_ns)

    def renew(self, lease: ProcessLease, connection: int, heard_ns: int) -> None:
        """The process was alive then, so it had accepted whatever was opened until then as well."""
        lease.heard_ns, lease.unreached, lease.sign = heard_ns, False, None
        opened_ns = lease.connections[connection]
        for other in [other for other in self.leases if other is not lease]:
            if any(opened_ns < later_ns <= heard_ns for later_ns in other.connections.values()):
                self.merge(lease, other)

    def established(self, connection: int, call: str, circuits: int) -> None:
        lease = self.lease_of(connection)
        if lease is not None:
            lease.calls[call] = circuits

    def remove_call(self, call: str) -> None:
        for lease in self.leases:
            lease.calls.pop(call, None)
        self.forget_empty()

    def completed(self, connection: int, call: str) -> None:
        """A normal end told here: only the process that held the call knows of it."""
        here = self.lease_of(connection)
        holder = next((lease for lease in self.leases if call in lease.calls), None)
        if here is not None and holder is not None and holder is not here:
            self.merge(holder, here)

    def state_told(self, connection: int, state: GroupState, now_ns: int) -> None:
        """Where the state fits what an earlier process held, and too little time has passed for another one.

        A process that has just started holds no calls; the group's state tells how many circuits are taken.
        """
        here = self.lease_of(connection)
        if here is None:
            return
        here.state = state
        if not self.is_mesh:
            return
        for earlier in [lease for lease in self.leases if lease is not here and lease.calls]:
            if self.vouches(state, earlier, now_ns):
                self.merge(earlier, here)
                here = earlier

    def vouches(self, state: GroupState, earlier: ProcessLease, now_ns: int) -> bool:
        if state.used < earlier.circuits or now_ns - earlier.heard_ns > VOUCH_NS:
            return False
        if earlier.connections:  # open and quiet: had anything changed, it would have been told there too
            return state == earlier.state
        return now_ns - earlier.ended_by_peer_ns < RESTART_LEAST_NS

    def dial_timed_out(self) -> None:
        """The machine may be gone, and what answers later may be another process."""
        for lease in self.leases:
            lease.unreached = True

    def dial_refused(self, connections: Collection[int], now_ns: int) -> bool:
        """Whether the refusal vouches for a process, as for one that drains and takes no more.

        The machine is up, and a process that dies there ends its connections: one that is open, and not mute
        (`connections`), has a process behind it. Harm: one that died while a short network cut hid the end of
        its connections holds its calls until the list of exchanges tells.
        """
        vouched = False
        for lease in self.leases:
            is_recent = now_ns - lease.heard_ns <= VOUCH_NS and not lease.unreached
            if is_recent and any(connection in lease.connections for connection in connections):
                lease.heard_ns, vouched = now_ns, True
        return vouched

    def is_witness(self, connection: int) -> bool:
        """Whether evidence hangs on it: it alone leads to a process that holds calls, or has just spoken."""
        lease = self.lease_of(connection)
        if lease is None or not lease.calls:
            return False
        has_spoken = lease.sign is not None and lease.sign.connection == connection
        return has_spoken or len(lease.connections) == 1

    def take_expired(self, now_ns: int) -> list[str]:
        """The calls whose lease has ended, in the order of their ids; they are forgotten here."""
        expired: list[str] = []
        for lease in list(self.leases):
            self.confirm(lease, now_ns)
        for lease in self.leases:
            if lease.calls and now_ns > lease.expires_ns():
                expired += lease.calls
                lease.calls.clear()
        self.forget_empty()
        return sorted(expired)

    def merge(self, lease: ProcessLease, other: ProcessLease) -> None:
        """Both groups lead to one process."""
        if other.heard_ns >= lease.heard_ns:
            lease.heard_ns, lease.state = other.heard_ns, other.state or lease.state
        lease.connections |= other.connections
        lease.calls |= other.calls
        self.leases.remove(other)

    def forget_empty(self) -> None:
        self.leases = [lease for lease in self.leases if lease.connections or lease.calls]
