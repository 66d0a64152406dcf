"""Keeps one connection pool per listed exchange.

Events of the exchange list create and remove pools. Where an event shows that an exchange's process is gone
or was restarted, the standing calls of that process are released.
"""

from __future__ import annotations

import time
from typing import Protocol

import structlog

from arrowkeel import interface as it
from arrowkeel.net.config import Address, Config, ExchangeEntry, ListUpdate
from arrowkeel.net.exchange_pool import ExchangeHandler, ExchangePool
from arrowkeel.net.metrics import ReleaseReason

log = structlog.get_logger()


class MembershipHandler(ExchangeHandler, Protocol):
    """Receives the consequences of a changed exchange list; the controller implements it."""

    # Passes the event on to the policy.
    def exchange_list_changed(self, event: it.ExchangeList) -> None: ...

    # Releases the standing calls that were established before that moment, because their process is gone.
    def process_gone(self, pool: ExchangePool, established_before_ns: int, reason: ReleaseReason) -> None: ...


class Membership:
    """The connection pools of all listed exchanges, by exchange identifier."""

    def __init__(self, handler: MembershipHandler, config: Config) -> None:
        self.handler, self.config = handler, config
        self.pools: dict[str, ExchangePool] = {}
        self.started_at_ns: dict[str, int] = {}  # listed start of each exchange's process, monotonic

    def sweep(self, now_ns: int) -> None:
        """Runs each pool's periodic checks."""
        for pool in self.pools.values():
            pool.sweep(now_ns)

    def first_open_pool(self) -> ExchangePool | None:
        """Returns some pool with an open connection, or None."""
        return next((pool for pool in self.pools.values() if pool.is_open), None)

    def shut_down(self) -> None:
        """Closes every connection at the end of the program, once what was written has been sent."""
        for pool in self.pools.values():
            pool.close_gracefully()

    def apply_update(self, update: ListUpdate, is_remembered: bool = False) -> None:
        """Applies one event: removes and creates pools, then passes the event on to the handler.

        `is_remembered` says that it is the list as it was known before the start.
        """
        if update.entries is None:
            return
        kind = it.ListKind.COMPLETE if update.is_complete else it.ListKind.CHANGES
        if is_remembered:
            kind = it.ListKind.REMEMBERED
        if kind is not it.ListKind.CHANGES:
            listed = {entry.listed.exchange for entry in update.entries}
            for exchange in [exchange for exchange in self.pools if exchange not in listed]:
                self.remove(exchange)
        for entry in update.entries:
            self.apply_entry(entry)
            log.info(
                "exchange listed",
                seq=update.seq,
                exchange=entry.listed.exchange,
                listing=entry.listed.status.value,
            )
        self.handler.exchange_list_changed(
            it.ExchangeList(kind, tuple(entry.listed for entry in update.entries))
        )

    def apply_entry(self, entry: ExchangeEntry) -> None:
        """Creates, updates or removes the pool of one exchange."""
        exchange, address = entry.listed.exchange, entry.address
        if entry.listed.status is it.ExchangeStatus.GONE or address is None:
            self.remove(exchange)
            return
        self.remove_replaced(exchange, address)
        pool = self.pools.get(exchange)
        if pool is None:
            pool = self.pools[exchange] = ExchangePool(exchange, address, self.handler, self.config)
        elif entry.listed.started_ns > self.started_at_ns.get(exchange, 0):
            self.handler.process_gone(pool, entry.listed.started_ns, ReleaseReason.RESTARTED)
        self.started_at_ns[exchange] = entry.listed.started_ns
        pool.set_serving(entry.listed.status is it.ExchangeStatus.SERVING)
        if not pool.connections:
            pool.dial()

    def remove_replaced(self, exchange: str, address: Address) -> None:
        """Removes every exchange that has only the name or only the address in common with this one.

        An address belongs to one exchange, and an exchange has one address.
        """
        for other in list(self.pools.values()):
            if (other.address == address) != (other.exchange == exchange):
                self.remove(other.exchange)

    def remove(self, exchange: str) -> None:
        """Closes the pool of an exchange that is gone and has all its standing calls released."""
        pool = self.pools.pop(exchange, None)
        self.started_at_ns.pop(exchange, None)
        if pool is not None:
            pool.close()
            self.handler.process_gone(pool, time.monotonic_ns() + 1, ReleaseReason.DELISTED)
