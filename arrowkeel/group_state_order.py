"""Decides whether a group state that was received on one of several connections is a new one.

Decisions only: no input or output and no clock.

An exchange sends each state of the circuit group on every connection, in the same order on each. So a
connection that lags behind brings states that another one has brought before. They are not new, although they
differ from the latest one.
"""

from __future__ import annotations

MAX_REMEMBERED_STATES = 64  # a connection that lags behind by more is no longer recognized as late


class GroupStateOrder:
    """The latest states of one group, and how far each connection has come in their order."""

    def __init__(self) -> None:
        self.states: list[bytes] = []
        self.first_position = 0  # of `states[0]` in the order of all states
        self.positions: dict[int, int] = {}  # by connection: of the last state that it brought

    @property
    def last_position(self) -> int:
        """The position of the latest state; -1 before the first."""
        return self.first_position + len(self.states) - 1

    def connection_opened(self, connection: int) -> None:
        """Adds a connection; the first state on it is the latest one, or one that is newer."""
        self.positions[connection] = self.last_position - 1

    def connection_lost(self, connection: int) -> None:
        """Removes a connection."""
        self.positions.pop(connection, None)

    def record(self, connection: int, state: bytes) -> bool:
        """Records a state received on this connection; returns whether it is a new one."""
        position = self.positions.get(connection, self.last_position - 1)
        start = max(0, position + 1 - self.first_position)
        try:
            self.positions[connection] = self.first_position + self.states.index(state, start)
        except ValueError:
            is_repeated = bool(self.states) and position == self.last_position and self.states[-1] == state
            if not is_repeated:
                self.append(state)
            self.positions[connection] = self.last_position
            return not is_repeated
        return False

    def append(self, state: bytes) -> None:
        """Adds a new state, and forgets the oldest one beyond the limit."""
        self.states.append(state)
        if len(self.states) > MAX_REMEMBERED_STATES:
            del self.states[0]
            self.first_position += 1
