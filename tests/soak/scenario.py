"""One seeded run of the soak: the real program between stand-ins, under a dense series of random faults.

The seed determines the sequence of random decisions; their moments depend on the real clock, so two runs of
one seed are similar and not equal. A run offers calls throughout and reports each violation of the protocol's
rules.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from tests.standins.callers import StandInCallers
from tests.standins.change_log import Mode, StandInChangeLog
from tests.standins.exchange import StandInExchange
from tests.standins.ledger import DRAIN_GRACE_S, TOLERANCE_S, Ledger

# Processes of the program, and exchanges that are listed at a time.
CONTROLLER_COUNT, EXCHANGE_COUNT = 1, 4
# Faults begin within this time from the start of the run.
FAULT_PERIOD_S = 12.0
# Time after the last fault: somewhat more than the longest limit that the ledger checks.
SETTLE_S = 9.5
# Mean rate at which the callers of each controller place calls.
CALLS_PER_S = 45.0
# Time from SIGTERM to SIGKILL: the longest deadline of a call, and 0.7 s.
TERMINATION_LIMIT_S = 3.7
# A controller must accept connections within this time from its start.
START_LIMIT_S = 20.0
# Ports of the controllers: the process id chooses one of the ranges, which begin at the first port.
FIRST_PORT, PORT_RANGE_COUNT, PORTS_PER_RUN = 12_000, 500, 40
# Settings that both classes of call share.
CLASS_SETTINGS = {"onTimeNs": 1_500_000_000, "deadlineNs": 3_000_000_000, "stream": True}


@dataclass
class RunResult:
    """Rule violations of one run, numbers of calls by outcome, and the faults with their start times."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


def free_port(offset: int) -> int:
    """Returns a free port below the range from which the system picks ports.

    The process id chooses the range of ports, so that runs in other processes rarely share it. Offsets from 0
    to 3 never yield the same port. Raises RuntimeError if no port is free.
    """
    first = FIRST_PORT + os.getpid() % PORT_RANGE_COUNT * PORTS_PER_RUN + offset
    for port in range(first, first + PORTS_PER_RUN, 4):
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue
    raise RuntimeError(f"no free port in the run's range from {first} on")


class ControllerProcess:
    """One process of the real program, with the stand-ins for its change log and its callers."""

    def __init__(self, index: int, run: SoakRun) -> None:
        self.index, self.run = index, run
        self.log_path = run.folder / f"controller-{index}.log"
        self.config_path = run.folder / f"controller-{index}.json"
        self.port, self.operator_port = free_port(2 * index), free_port(2 * index + 1)
        self.change_log = StandInChangeLog(run.events)
        numbers = [exchange.number for exchange in run.exchanges]
        self.callers = StandInCallers(index, numbers, run.ledger, run.random)
        self.callers.address = ("127.0.0.1", self.port)
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopping = False  # a restart is in progress

    def write_config(self) -> None:
        """Writes the configuration file, which names the current change log and all events so far."""
        config = {
            "name": f"n{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "operator": f"127.0.0.1:{self.operator_port}",
            "seed": f"{self.run.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "changelog": self.change_log.address,
            "known": {"seq": self.run.events[-1]["seq"], "results": self.run.events},
            "settings": {
                "classes": [{"name": "voice", **CLASS_SETTINGS}, {"name": "data", **CLASS_SETTINGS}],
                "familyInfo": {"ownNumber": 0, "layout": "network", "guardNs": 200_000_000},
                "groupSize": CONTROLLER_COUNT,
                "permissions": {
                    "tryLimit": 4,
                    "maxOpen": 2000,
                    "cancel": True,
                    "dialTimeoutNs": 500_000_000,
                    "retryAfter": True,
                    "maxRetryAfterNs": 2_000_000_000,
                },
                "report": {"how": "answers", "names": ["idle", "circuits", "max_rate"]},
            },
        }
        self.config_path.write_text(json.dumps(config))

    async def start(self) -> None:
        """Starts the process with a fresh configuration, and waits until it accepts connections."""
        await self.change_log.set_mode(self.change_log.mode if self.change_log.port else Mode.UP)
        if not self.change_log.port:
            await self.change_log.start()
        self.write_config()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "arrowkeel",
                stdout=log,
                stderr=log,
                env={**os.environ, "LB_CONFIG": str(self.config_path), "ARROWKEEL_LOG": "debug"},
            )
        await self.wait_until_ready()
        self.is_stopping = self.callers.was_killed = False
        self.callers.controller_accepts = True

    async def wait_until_ready(self) -> None:
        """Waits until the controller accepts connections; it must do so within `START_LIMIT_S`."""
        for _ in range(int(START_LIMIT_S / 0.02)):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return
        self.run.ledger.record_violation(
            "controller start",
            f"controller {self.index} did not accept connections after its start",
            self.run.now_s,
        )

    def send_to_process(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, by_sigkill: bool) -> None:
        """Stops the process and starts it again.

        It gets SIGKILL at once, or SIGTERM and, if it is still running at the earliest permitted moment,
        SIGKILL. A process that ends by itself after SIGTERM must exit with status 0.
        """
        if self.is_stopping or self.process is None:
            return
        self.is_stopping = True
        if by_sigkill:
            self.callers.was_killed = True
            self.send_to_process(signal.SIGKILL)
        else:
            self.send_to_process(signal.SIGTERM)
            self.run.loop.call_later(self.run.random.uniform(0.2, 0.4), self.mark_as_not_accepting)
        try:
            await asyncio.wait_for(self.process.wait(), TERMINATION_LIMIT_S)
        except TimeoutError:
            self.send_to_process(signal.SIGKILL)
            await self.process.wait()
        if not by_sigkill and self.process.returncode not in (0, -signal.SIGKILL):
            self.run.ledger.record_violation(
                "exit status",
                f"controller {self.index} exited with status {self.process.returncode}",
                self.run.now_s,
            )
        self.callers.controller_accepts = False
        self.callers.handle_controller_exit(by_sigkill)
        await asyncio.sleep(0.05)
        await self.start()

    def mark_as_not_accepting(self) -> None:
        """Makes the callers open no more connections, since the stopping controller does not accept them."""
        self.callers.controller_accepts = False

    async def post_to_operator(self, path: str) -> None:
        """Sends a POST request to the operators' interface; ignores that the controller cannot be reached."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
            writer.write(f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
        except OSError:
            pass  # the controller is being restarted

    async def reload(self) -> None:
        """Moves the change log to another address by a new configuration and SIGHUP.

        The change log at the old address falls silent, and closes 1.5 s later.
        """
        if self.is_stopping:
            return
        old = self.change_log
        self.change_log = StandInChangeLog(self.run.events)
        self.change_log.sent_at_s, self.change_log.published_at_s = old.sent_at_s, old.published_at_s
        await self.change_log.start()
        await old.set_mode(Mode.SILENT)
        self.run.loop.call_later(1.5, old.stop)
        self.write_config()
        self.send_to_process(signal.SIGHUP)

    async def stop_and_check(self) -> None:
        """Kills the process and stops its change log.

        The process must not have failed by itself before, and its log must not contain a traceback or the
        error of a call that got no answer.
        """
        if self.process is not None:
            if self.process.returncode not in (None, 0) and not self.is_stopping:
                self.run.ledger.record_violation(
                    "exit status",
                    f"controller {self.index} exited with status {self.process.returncode}",
                    self.run.now_s,
                )
            self.send_to_process(signal.SIGKILL)
            await self.process.wait()
        self.change_log.stop()
        text = self.log_path.read_text()
        for forbidden_text in ("Traceback", "call past its deadline without a final answer"):
            if forbidden_text in text:
                self.run.ledger.record_violation(
                    "controller log", f"controller {self.index} logged {forbidden_text!r}", self.run.now_s
                )


class SoakRun:
    """The run of one seed: controllers, exchanges, the events of the change log, and the ledger."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder = seed, folder
        self.loop = asyncio.get_running_loop()
        self.random, self.ledger = Random(seed), Ledger()
        self.quiet_random = Random(f"quiet connections {seed}")  # so that the other faults stay as they were
        self.events: list[dict[str, Any]] = []
        self.faults: list[str] = []
        mean_holding_s = self.random.choice([0.5, 2.0, 6.0])
        self.exchanges = [
            StandInExchange(number, self.ledger, self.random, mean_holding_s)
            for number in range(1, EXCHANGE_COUNT + 1)
        ]
        self.controllers: list[ControllerProcess] = []

    @property
    def now_s(self) -> float:
        """The event loop's clock."""
        return self.loop.time()

    def list_entry(self, exchange: StandInExchange, lifecycle: str) -> dict[str, Any]:
        """Returns the exchange as an entry of the list that the change log serves."""
        return {
            "instanceId": exchange.name,
            "hostPort": exchange.proxy.address,
            "zone": "east",
            "machineType": "std",
            "cell": exchange.number,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": 0,
        }

    def publish(self, *entries: dict[str, Any], reset: bool = False) -> int:
        """Appends an event with these entries for all change logs, and returns its sequence number."""
        seq = len(self.events) + 1
        fleet = {"generation": seq, "reset": reset, "instances": list(entries)}
        self.events.append({"seq": seq, "fleet": fleet})
        for controller in self.controllers:
            controller.change_log.announce_event(seq)
        return seq

    async def execute(self) -> RunResult:
        """Starts everything, offers calls under faults, lets all limits pass, and checks the ledger."""
        for exchange in self.exchanges:
            await exchange.start()
        self.publish(*(self.list_entry(exchange, "up") for exchange in self.exchanges), reset=True)
        self.controllers = [ControllerProcess(index, self) for index in range(CONTROLLER_COUNT)]
        await asyncio.gather(*(controller.start() for controller in self.controllers))
        started_at_s = self.now_s
        run_tasks = [
            self.loop.create_task(
                each.callers.place_calls(CALLS_PER_S, started_at_s + FAULT_PERIOD_S + SETTLE_S - 4.0)
            )
            for each in self.controllers
        ]
        run_tasks += [self.loop.create_task(self.inject_faults(started_at_s)) for _ in range(3)]
        run_tasks += [self.loop.create_task(self.quieten_connections(started_at_s)) for _ in range(2)]
        await asyncio.gather(*run_tasks)
        await asyncio.sleep(max(0.0, started_at_s + FAULT_PERIOD_S + SETTLE_S - self.now_s))
        for controller in self.controllers:
            for task in list(controller.callers.tasks):
                task.cancel()
        self.ledger.check_unfinished_calls(self.now_s)
        for controller in self.controllers:
            await controller.stop_and_check()
        for exchange in self.exchanges:
            exchange.stop()
        return self.build_result()

    def build_result(self) -> RunResult:
        """Returns the violations, the callers' counts summed up over all controllers, and the faults."""
        counts: dict[str, int] = {"standing calls released": self.ledger.standing_calls_released}
        for controller in self.controllers:
            for name, count in controller.callers.counts.items():
                counts[name] = counts.get(name, 0) + count
        return RunResult(self.seed, self.ledger.violations, counts, self.faults)

    # Faults

    async def inject_faults(self, started_at_s: float) -> None:
        """Injects random faults one after the other; three tasks do this at the same time."""
        fault_methods = [
            self.vanish_exchange,
            self.vanish_exchange,
            self.cut_network,
            self.crash_exchange,
            self.hang_exchange,
            self.reset_connections,
            self.corrupt_answers,
            self.delay_accepts,
            self.disturb_change_log,
            self.disturb_change_log,
            self.drain_exchange,
            self.drain_exchange,
            self.reload,
            self.restart,
            self.restart,
            self.switch_to_standby,
            self.start_bad_clients,
            self.open_idle_connections,
        ]
        while self.now_s < started_at_s + FAULT_PERIOD_S:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            fault = self.random.choice(fault_methods)
            self.faults.append(f"{self.now_s - started_at_s:.2f} {fault.__name__}")
            await fault()

    async def quieten_connections(self, started_at_s: float) -> None:
        """Has callers' connections fall quiet, one after the other; two tasks do this at the same time."""
        while self.now_s < started_at_s + FAULT_PERIOD_S:
            await asyncio.sleep(self.quiet_random.uniform(0.1, 1.0))
            callers = self.quiet_random.choice(self.controllers).callers
            self.faults.append(f"{self.now_s - started_at_s:.2f} quieten_connection")
            await callers.quieten_connection(self.quiet_random)

    def pick_exchange_without_fault(self) -> StandInExchange | None:
        """Returns a random exchange that no exclusive fault has, or None if at most one is left.

        A fault has its exchange for itself, so that its effects are its own.
        """
        free = [each for each in self.exchanges if not each.has_exclusive_fault]
        return self.random.choice(free) if len(free) > 1 else None

    async def vanish_exchange(self) -> None:
        """An exchange vanishes: it returns as a new process, or the list names another in its place."""
        exchange = self.pick_exchange_without_fault()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.vanish()
            if self.random.random() < 0.6:
                await asyncio.sleep(self.random.uniform(5.0, 7.0))
                exchange.return_as_new_process()
            else:
                await asyncio.sleep(self.random.uniform(5.3, 9.0))
                await self.replace_exchange(exchange)

    async def replace_exchange(self, exchange: StandInExchange) -> None:
        """Starts another exchange and lists it in place of this one."""
        new_exchange = StandInExchange(exchange.number, self.ledger, self.random, exchange.mean_holding_s)
        await new_exchange.start()
        self.exchanges[self.exchanges.index(exchange)] = new_exchange
        self.publish(self.list_entry(exchange, "removed"), self.list_entry(new_exchange, "up"))
        self.loop.call_later(1.0, exchange.stop)

    async def cut_network(self) -> None:
        """The network between an exchange and the controllers is interrupted; the exchange goes on."""
        exchange = self.pick_exchange_without_fault()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.cut_network()
            await asyncio.sleep(self.random.uniform(0.5, 6.0))
            exchange.restore_network()

    async def crash_exchange(self) -> None:
        """The process of an exchange ends; a new one accepts connections at the same address."""
        exchange = self.pick_exchange_without_fault()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.crash()
            await asyncio.sleep(self.random.uniform(0.3, 4.0))
            exchange.proxy.resume_accepting()

    async def hang_exchange(self) -> None:
        """An exchange stops handling messages for a while."""
        exchange = self.pick_exchange_without_fault()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.hang()
            await asyncio.sleep(self.random.uniform(1.0, 6.0))
            exchange.resume()

    async def reset_connections(self) -> None:
        """Single connections of reachable exchanges are reset."""
        for _ in range(self.random.randrange(1, 5)):
            exchange = self.random.choice(self.exchanges)
            if exchange.connections and exchange.is_reachable:
                self.random.choice(exchange.connections).reset()
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def corrupt_answers(self) -> None:
        """An exchange sends some malformed, incomplete and duplicate answers."""
        exchange = self.random.choice(self.exchanges)
        exchange.corrupts_answers = True
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        exchange.corrupts_answers = False

    async def delay_accepts(self) -> None:
        """Connections to an exchange come up late."""
        exchange = self.random.choice(self.exchanges)
        exchange.proxy.accept_delay_s = self.random.uniform(0.1, 1.0)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        exchange.proxy.accept_delay_s = 0.0

    async def disturb_change_log(self) -> None:
        """A change log refuses connections, stays silent or answers late."""
        change_log = self.random.choice(self.controllers).change_log
        mode = self.random.choice([Mode.DOWN, Mode.SILENT, Mode.SLOW])
        await change_log.set_mode(mode)
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        if change_log in [controller.change_log for controller in self.controllers]:
            await change_log.set_mode(Mode.UP)

    async def drain_exchange(self) -> None:
        """An exchange is listed as draining, at times refuses new connections, is replaced, and ends."""
        exchange = self.pick_exchange_without_fault()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            seq = self.publish(self.list_entry(exchange, "draining"))
            drain_task = self.loop.create_task(self.enforce_drain(exchange, seq))
            await asyncio.sleep(self.random.uniform(1.0, 5.0))
            if self.random.random() < 0.5:
                exchange.proxy.refuse_connections()  # open connections and calls go on
                await asyncio.sleep(self.random.uniform(0.5, 2.0))
            await self.replace_exchange(exchange)
            exchange.lose_process()
            drain_task.cancel()

    async def enforce_drain(self, exchange: StandInExchange, seq: int) -> None:
        """Sets the exchange's deadline for set-ups once the event counts as delivered to every controller.

        The drain rule binds each controller from its own delivery; the exchange measures all by the last one.
        """
        while True:
            delivery_times_s = [controller.change_log.delivery_time_s(seq) for controller in self.controllers]
            delivered_s = [time_s for time_s in delivery_times_s if time_s is not None]
            if len(delivered_s) == len(delivery_times_s):
                exchange.set_up_deadline_s = max(delivered_s) + DRAIN_GRACE_S + TOLERANCE_S
            await asyncio.sleep(0.05)

    async def reload(self) -> None:
        """A controller is reconfigured one to three times in quick succession."""
        controller = self.random.choice(self.controllers)
        for _ in range(self.random.randrange(1, 4)):
            await controller.reload()
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def restart(self) -> None:
        """A controller is restarted once or twice, at times with SIGKILL."""
        controller = self.random.choice(self.controllers)
        for _ in range(self.random.randrange(1, 3)):
            await controller.restart(by_sigkill=self.random.random() < 0.2)
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def switch_to_standby(self) -> None:
        """A controller is put on standby for a while."""
        controller = self.random.choice(self.controllers)
        await controller.post_to_operator("/standby")
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        await controller.post_to_operator("/active")

    async def start_bad_clients(self) -> None:
        """Clients send malformed input to a controller."""
        callers = self.random.choice(self.controllers).callers
        for _ in range(self.random.randrange(1, 20)):
            callers.start_task(callers.send_malformed_input())

    async def open_idle_connections(self) -> None:
        """Many idle connections are opened to a controller; only seeds divisible by 3 do this."""
        if self.seed % 3 == 0:
            await self.random.choice(self.controllers).callers.open_idle_connections(400)
