"""The program's life: what it listens on, when it is ready, standby, and its orderly end."""

from __future__ import annotations

import asyncio
import socket
import time
from enum import Enum

import structlog

from arrowkeel.departure import STOP_ACCEPT_NS, DrainPlan
from arrowkeel.net.callers import CallerConnection
from arrowkeel.net.config import MS, Config, ConfigError
from arrowkeel.net.controller import Controller
from arrowkeel.net.operator_api import OperatorApi
from arrowkeel.policy import Policy

FLUSH_NS = 300 * MS  # for the last answers to be read, at the end
SWEEP_NS = 50 * MS  # between looks for connections that are of no use
log = structlog.get_logger()


class ServiceState(Enum):
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
        self.state = ServiceState.STARTING
        self.operator_api = OperatorApi(self, config.bounds.max_operator_connections)
        self.server: asyncio.Server | None = None
        self.stop_at_ns = 0
        self.finished: asyncio.Future[None] = self.loop.create_future()

    # Start

    async def start(self) -> None:
        """Ready once each exchange was dialled: a successor that says so too soon fails its first calls."""
        try:
            if self.config.operator is not None:
                await self.operator_api.listen(self.config.operator)
        except OSError as error:
            raise ConfigError(f"operator: {error}") from None
        try:
            self.server = await self.listen()
            await self.controller.start()
            if self.state is ServiceState.STARTING:
                await self.server.start_serving()
        except (OSError, ValueError) as error:
            named = "listen" if self.config.accept_fd is None else "LB_ACCEPT_FD"
            raise ConfigError(f"{named}: {error}") from None
        if self.state is ServiceState.STARTING:
            self.state = ServiceState.READY
        self.sweep()

    async def listen(self) -> asyncio.Server:
        config = self.config

        def line() -> CallerConnection:
            return CallerConnection(self.controller, config.bounds.max_unsent_bytes)

        if config.accept_fd is not None:  # the platform's socket: whoever runs after us has it too
            held = socket.socket(fileno=config.accept_fd)
            return await self.loop.create_server(
                line, sock=held, backlog=config.bounds.accept_backlog, start_serving=False
            )
        host, port = config.listen.host, config.listen.port
        return await self.loop.create_server(
            line, host, port, backlog=config.bounds.accept_backlog, start_serving=False
        )

    @property
    def listening(self) -> str:
        host, port = self.server.sockets[0].getsockname()[:2] if self.server is not None else ("", 0)
        return f"{host}:{port}"

    def sweep(self) -> None:
        now = time.monotonic_ns()
        self.controller.sweep(now)
        self.operator_api.sweep(now)
        self.loop.call_later(SWEEP_NS / 1e9, self.sweep)

    # What operators ask

    @property
    def is_ready(self) -> bool:
        return self.state is ServiceState.READY

    def metrics(self) -> str:
        return self.controller.metrics_text()

    def standby(self) -> bool:
        """Callers are sent away: tests fail, and each connection goes once nothing is lost with it."""
        if self.state is ServiceState.READY:
            self.state = ServiceState.STANDBY
            log.info("standby", **self.load())
            self.controller.accepts_calls = False
            self.controller.callers.start_drain(DrainPlan.standby(time.monotonic_ns()))
        return self.state is ServiceState.STANDBY

    def active(self) -> bool:
        if self.state is ServiceState.STANDBY:
            self.state = ServiceState.READY
            log.info("active again", **self.load())
            self.controller.accepts_calls = True
            self.controller.callers.cancel_drain()
        return self.state is ServiceState.READY

    def load(self) -> dict[str, int]:
        """What the log says at each change of state."""
        calls = self.controller.calls
        return {
            "open_calls": calls.open_count,
            "standing_calls": calls.standing_count,
            "caller_connections": len(self.controller.callers.connections),
        }

    # Stop

    def stop(self) -> None:
        """Calls go on being taken for a while; the end comes once all is answered and callers have gone.

        On a socket that the platform holds nothing more is accepted: what connects now waits there for the
        process that follows, and what is connected goes to it at its first idle moment.
        """
        if self.stop_at_ns:
            return
        now, longest_ns = time.monotonic_ns(), self.config.settings.longest_deadline_ns
        self.state = ServiceState.STOPPING
        self.stop_at_ns = now + STOP_ACCEPT_NS
        log.info("stopping", **self.load())
        if self.config.accept_fd is not None:
            self.close_server()
            self.controller.callers.start_drain(DrainPlan.hand_over(now, longest_ns))
        else:
            self.controller.callers.start_drain(DrainPlan.stop(now, longest_ns))
        self.finish_if_due()

    def close_server(self) -> None:
        if self.server is not None:
            self.server.close()

    def finish_if_due(self) -> None:
        if self.finished.done():
            return
        now, callers, calls = time.monotonic_ns(), self.controller.callers, self.controller.calls
        if now >= self.stop_at_ns:
            self.close_server()
        if callers.must_answer_open_calls(now):
            self.controller.fail_open_calls()
            self.finished.set_result(None)
        elif now >= self.stop_at_ns and not calls.open_count and not callers.connections:
            self.finished.set_result(None)
        else:
            self.loop.call_later(0.01, self.finish_if_due)

    async def shut_down(self) -> None:
        await self.controller.close(time.monotonic_ns() + FLUSH_NS)
        self.operator_api.close()
        await asyncio.sleep(0.005)
