"""The life cycle of the process: listening, readiness, standby and orderly shutdown.

`Service` joins a controller with the sockets of callers and operators and moves through the states of
`ServiceState`.
"""

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

FINAL_FLUSH_NS = 300 * MS  # longest wait at the end until callers have read the last answers
SWEEP_INTERVAL_NS = 50 * MS  # between checks for idle, unresponsive and expired connections
log = structlog.get_logger()


class ServiceState(Enum):
    """Where the process is in its life cycle; operators switch between READY and STANDBY."""

    STARTING = "starting"
    READY = "ready"
    STANDBY = "standby"
    STOPPING = "stopping"


class Service:
    """One controller with its listening sockets, from start to shutdown."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.controller = Controller(config, Policy(config.settings, config.seed, config.bounds.max_numbers))
        self.loop = asyncio.get_running_loop()
        self.state = ServiceState.STARTING
        self.operator_api = OperatorApi(self, config.bounds.max_operator_connections)
        self.server: asyncio.Server | None = None
        # When the process may end at the earliest; until then callers may still connect, unless a successor
        # accepts on the same socket. 0 until the shutdown begins.
        self.earliest_finish_ns = 0
        self.finished: asyncio.Future[None] = self.loop.create_future()  # set once `shut_down` may be called

    # Start-up

    async def start(self) -> None:
        """Listens, dials the exchanges and becomes ready; raises ConfigError if an address cannot be used.

        Callers are accepted only once every exchange was dialled. A successor process that reported itself
        ready before that would fail its first calls.
        """
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
            field = "listen" if self.config.accept_fd is None else "LB_ACCEPT_FD"
            raise ConfigError(f"{field}: {error}") from None
        if self.state is ServiceState.STARTING:
            self.state = ServiceState.READY
        self.sweep()

    async def listen(self) -> asyncio.Server:
        """Returns the server for callers' connections, which does not accept any yet."""
        config = self.config

        def new_caller_connection() -> CallerConnection:
            bounds = config.bounds
            return CallerConnection(self.controller, bounds)

        # Whoever started this process keeps the inherited socket open, so that a successor gets it too.
        if config.accept_fd is not None:
            inherited_socket = socket.socket(fileno=config.accept_fd)
            return await self.loop.create_server(
                new_caller_connection,
                sock=inherited_socket,
                backlog=config.bounds.accept_backlog,
                start_serving=False,
            )
        host, port = config.listen.host, config.listen.port
        return await self.loop.create_server(
            new_caller_connection, host, port, backlog=config.bounds.accept_backlog, start_serving=False
        )

    @property
    def listen_address(self) -> str:
        """The address for callers as `host:port`, with the port that the system chose."""
        host, port = self.server.sockets[0].getsockname()[:2] if self.server is not None else ("", 0)
        return f"{host}:{port}"

    def sweep(self) -> None:
        """Runs the periodic checks of all connections, now and every SWEEP_INTERVAL_NS."""
        now_ns = time.monotonic_ns()
        self.controller.sweep(now_ns)
        self.operator_api.sweep(now_ns)
        self.loop.call_later(SWEEP_INTERVAL_NS / 1e9, self.sweep)

    # Requests of operators

    @property
    def is_ready(self) -> bool:
        return self.state is ServiceState.READY

    def render_metrics(self) -> str:
        return self.controller.metrics_text()

    def enter_standby(self) -> bool:
        """Makes callers leave, if the process is ready; returns whether it is in standby.

        From now on connection tests by callers fail, and each caller's connection is closed once no call or
        release can be lost with it.
        """
        if self.state is ServiceState.READY:
            self.state = ServiceState.STANDBY
            log.info("entered standby", **self.log_fields())
            self.controller.accepts_calls = False
            self.controller.callers.start_drain(DrainPlan.standby(time.monotonic_ns()))
        return self.state is ServiceState.STANDBY

    def leave_standby(self) -> bool:
        """Accepts calls again, if the process is in standby; returns whether it is ready."""
        if self.state is ServiceState.STANDBY:
            self.state = ServiceState.READY
            log.info("left standby", **self.log_fields())
            self.controller.accepts_calls = True
            self.controller.callers.cancel_drain()
        return self.state is ServiceState.READY

    def log_fields(self) -> dict[str, int]:
        """Returns the counts that are logged with each change of state."""
        calls = self.controller.calls
        return {
            "open_calls": calls.open_count,
            "standing_calls": calls.standing_count,
            "caller_connections": len(self.controller.callers.connections),
        }

    # Shutdown

    def stop(self) -> None:
        """Begins the orderly shutdown; a second call has no effect.

        Set-ups are still accepted for a while, and the process ends once all of them are answered and callers
        have closed their connections.

        With an inherited listening socket no further connections are accepted: new ones wait in the socket's
        backlog for the successor process, and each open one is closed at its first idle moment, so that its
        caller connects to the successor.
        """
        if self.earliest_finish_ns:
            return
        now_ns, longest_wait_ns = time.monotonic_ns(), self.config.settings.longest_deadline_ns
        self.state = ServiceState.STOPPING
        self.earliest_finish_ns = now_ns + STOP_ACCEPT_NS
        log.info("stopping", **self.log_fields())
        if self.config.accept_fd is not None:
            self.stop_accepting()
            self.controller.callers.start_drain(DrainPlan.hand_over(now_ns, longest_wait_ns))
        else:
            self.controller.callers.start_drain(DrainPlan.stop(now_ns, longest_wait_ns))
        self.check_finished()

    def stop_accepting(self) -> None:
        """Stops accepting connections; the open ones are not affected."""
        if self.server is not None:
            self.server.close()

    def check_finished(self) -> None:
        """Completes `finished` if nothing is left to do or time is up; otherwise checks again after 10 ms.

        When time is up, open calls get their final answer here.
        """
        if self.finished.done():
            return
        now_ns, callers, calls = time.monotonic_ns(), self.controller.callers, self.controller.calls
        if now_ns >= self.earliest_finish_ns:
            self.stop_accepting()
        if callers.must_answer_open_calls(now_ns):
            self.controller.fail_open_calls()
            self.finished.set_result(None)
        elif now_ns >= self.earliest_finish_ns and not calls.open_count and not callers.connections:
            self.finished.set_result(None)
        else:
            self.loop.call_later(0.01, self.check_finished)

    async def shut_down(self) -> None:
        """Closes every connection once the last answers are written; call it when `finished` is done."""
        await self.controller.close(time.monotonic_ns() + FINAL_FLUSH_NS)
        self.operator_api.close()
        await asyncio.sleep(0.005)
