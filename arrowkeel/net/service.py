"""The program's life: what it listens on, when it is ready, standby, and its orderly end."""

from __future__ import annotations

import asyncio
import socket
import time
from enum import Enum

import structlog

from arrowkeel.net.callerlines import CARRY_NS
from arrowkeel.net.callers import CallerLine
from arrowkeel.net.config import MS, Config, ConfigError
from arrowkeel.net.controller import Controller
from arrowkeel.net.door import Door
from arrowkeel.policy import Policy

ACCEPT_NS = 700 * MS  # after SIGTERM calls go on coming for so long
FLUSH_NS = 300 * MS  # for the last answers to be read, at the end
SWEEP_NS = 50 * MS  # between looks for connections that are of no use
log = structlog.get_logger()


class Duty(Enum):
    STARTING = "starting"
    READY = "ready"
    STANDBY = "standby"
    STOPPING = "stopping"


class Service:
    """One controller on its sockets, from start to end."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.controller = Controller(config, Policy(config.settings, config.seed))
        self.loop = asyncio.get_running_loop()
        self.duty = Duty.STARTING
        self.door = Door(self, config.bounds.door)
        self.server: asyncio.Server | None = None
        self.stop_at_ns = 0
        self.finished: asyncio.Future[None] = self.loop.create_future()

    # Start

    async def start(self) -> None:
        """Ready once each exchange was dialled: a successor that says so too soon fails its first calls."""
        try:
            if self.config.operator is not None:
                await self.door.listen(self.config.operator)
        except OSError as error:
            raise ConfigError(f"operator: {error}") from None
        try:
            self.server = await self.listen()
            await self.controller.start()
            if self.duty is Duty.STARTING:
                await self.server.start_serving()
        except (OSError, ValueError) as error:
            named = "listen" if self.config.accept_fd is None else "LB_ACCEPT_FD"
            raise ConfigError(f"{named}: {error}") from None
        if self.duty is Duty.STARTING:
            self.duty = Duty.READY
        self.sweep()

    async def listen(self) -> asyncio.Server:
        config = self.config

        def line() -> CallerLine:
            return CallerLine(self.controller, config.bounds.unsent)

        if config.accept_fd is not None:  # the platform's socket: whoever runs after us has it too
            held = socket.socket(fileno=config.accept_fd)
            return await self.loop.create_server(
                line, sock=held, backlog=config.bounds.backlog, start_serving=False
            )
        host, port = config.listen.host, config.listen.port
        return await self.loop.create_server(
            line, host, port, backlog=config.bounds.backlog, start_serving=False
        )

    @property
    def listening(self) -> str:
        host, port = self.server.sockets[0].getsockname()[:2] if self.server is not None else ("", 0)
        return f"{host}:{port}"

    def sweep(self) -> None:
        now = time.monotonic_ns()
        self.controller.sweep(now)
        self.door.sweep(now)
        self.loop.call_later(SWEEP_NS / 1e9, self.sweep)

    # What operators ask

    @property
    def is_ready(self) -> bool:
        return self.duty is Duty.READY

    def metrics(self) -> str:
        return self.controller.metrics_text()

    def standby(self) -> bool:
        """Callers are sent away: tests fail, and each connection goes once nothing is open on it."""
        if self.duty is Duty.READY:
            self.duty = Duty.STANDBY
            log.info("standby", open_calls=self.controller.open_calls)
            self.controller.takes_calls = False
            now = time.monotonic_ns()
            self.controller.lines.leave(now, carry_until_ns=now + CARRY_NS)
        return self.duty is Duty.STANDBY

    def active(self) -> bool:
        if self.duty is Duty.STANDBY:
            self.duty = Duty.READY
            log.info("active again")
            self.controller.takes_calls = True
            self.controller.lines.stay()
        return self.duty is Duty.READY

    # Stop

    def stop(self) -> None:
        """Calls go on being taken for a while; the end comes once every open call has its answer.

        On a socket that the platform holds nothing more is accepted: what connects now waits there for the
        process that follows, and what is connected goes to it at its first idle moment.
        """
        if not self.stop_at_ns:
            self.duty = Duty.STOPPING
            self.stop_at_ns = time.monotonic_ns() + ACCEPT_NS
            log.info("stopping", open_calls=self.controller.open_calls)
            if self.config.accept_fd is not None:
                self.close_server()
                self.controller.lines.leave(time.monotonic_ns(), carry_until_ns=self.stop_at_ns)
            self.finish_if_due()

    def close_server(self) -> None:
        if self.server is not None:
            self.server.close()

    def finish_if_due(self) -> None:
        now, lines = time.monotonic_ns(), self.controller.lines
        if self.finished.done():
            return
        if now >= self.stop_at_ns:
            self.close_server()
        left = self.config.accept_fd is None or not lines.lines
        if now >= self.stop_at_ns and not self.controller.open_calls and left:
            self.finished.set_result(None)
        else:
            self.loop.call_later(0.01, self.finish_if_due)

    async def finish(self) -> None:
        await self.controller.close(time.monotonic_ns() + FLUSH_NS)
        self.door.close()
        await asyncio.sleep(0.005)
