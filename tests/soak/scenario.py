"""One seeded run: a real controller, stand-ins of all that they talk to, and faults in a dense series."""

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

CONTROLLERS, EXCHANGES = 1, 4
FAULTS_S = 12.0  # faults begin within so long
TAIL_S = 9.5  # after the last fault: the longest limit, and a little
RATE = 45.0  # calls a second
KILL_S = 3.7  # SIGKILL after SIGTERM: the longest deadline and 0.7 s
READY_S = 20.0
FIRST_PORT, PORT_RANGES, PORTS_EACH = 12_000, 500, 40
CLASS = {"onTimeNs": 1_500_000_000, "deadlineNs": 3_000_000_000, "stream": True}


@dataclass
class Result:
    """What one run came to."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


def free_port(offset: int) -> int:
    """A port below those that the system picks, apart from those of runs in other processes."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_EACH + offset
    for port in range(first, first + PORTS_EACH, 4):
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue
    raise RuntimeError(f"no free port from {first} on")


class ControllerProcess:
    """One controller: the real program, its change log and its callers."""

    def __init__(self, index: int, run: Run) -> None:
        self.index, self.run = index, run
        self.log_path = run.folder / f"controller-{index}.log"
        self.config_path = run.folder / f"controller-{index}.json"
        self.port, self.operator_port = free_port(2 * index), free_port(2 * index + 1)
        self.change_log = StandInChangeLog(run.events)
        numbers = [exchange.number for exchange in run.exchanges]
        self.callers = StandInCallers(index, numbers, run.ledger, run.random)
        self.callers.address = ("127.0.0.1", self.port)
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopping = False

    def write_config(self) -> None:
        config = {
            "name": f"n{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "operator": f"127.0.0.1:{self.operator_port}",
            "seed": f"{self.run.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "changelog": self.change_log.address,
            "known": {"seq": self.run.events[-1]["seq"], "results": self.run.events},
            "settings": {
                "classes": [{"name": "voice", **CLASS}, {"name": "data", **CLASS}],
                "familyInfo": {"ownNumber": 0, "layout": "network", "guardNs": 200_000_000},
                "groupSize": CONTROLLERS,
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
        await self.until_ready()
        self.is_stopping = self.callers.was_killed = False
        self.callers.controller_accepts = True

    async def until_ready(self) -> None:
        for _ in range(int(READY_S / 0.02)):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return
        self.run.ledger.record_violation("start", f"controller {self.index} is not ready", self.run.now)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, outright: bool) -> None:
        """SIGTERM, and SIGKILL at the earliest moment; or SIGKILL at once."""
        if self.is_stopping or self.process is None:
            return
        self.is_stopping = True
        if outright:
            self.callers.was_killed = True
            self.signal(signal.SIGKILL)
        else:
            self.signal(signal.SIGTERM)
            self.run.loop.call_later(self.run.random.uniform(0.2, 0.4), self.no_more_connections)
        try:
            await asyncio.wait_for(self.process.wait(), KILL_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if not outright and self.process.returncode not in (0, -signal.SIGKILL):
            self.run.ledger.record_violation(
                "crash", f"controller {self.index} ended with {self.process.returncode}", self.run.now
            )
        self.callers.controller_accepts = False
        self.callers.handle_controller_exit(outright)
        await asyncio.sleep(0.05)
        await self.start()

    def no_more_connections(self) -> None:
        self.callers.controller_accepts = False

    async def operator(self, call: str) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
            writer.write(f"POST {call} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
        except OSError:
            pass  # it is being replaced

    async def reload(self) -> None:
        """A new configuration moves the change log; the old one says nothing more."""
        if self.is_stopping:
            return
        old = self.change_log
        self.change_log = StandInChangeLog(self.run.events)
        self.change_log.sent_at_s, self.change_log.published_at_s = old.sent_at_s, old.published_at_s
        await self.change_log.start()
        await old.set_mode(Mode.SILENT)
        self.run.loop.call_later(1.5, old.stop)
        self.write_config()
        self.signal(signal.SIGHUP)

    async def end(self) -> None:
        if self.process is not None:
            if self.process.returncode not in (None, 0) and not self.is_stopping:
                self.run.ledger.record_violation(
                    "crash", f"controller {self.index} ended with {self.process.returncode}", self.run.now
                )
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.change_log.stop()
        text = self.log_path.read_text()
        for sign in ("Traceback", "call without an answer at its end"):
            if sign in text:
                self.run.ledger.record_violation(
                    "log", f"controller {self.index} logged {sign!r}", self.run.now
                )


class Run:
    """One seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder = seed, folder
        self.loop = asyncio.get_running_loop()
        self.random, self.ledger = Random(seed), Ledger()
        self.events: list[dict[str, Any]] = []
        self.faults: list[str] = []
        hold_s = self.random.choice([0.5, 2.0, 6.0])
        self.exchanges = [
            StandInExchange(number, self.ledger, self.random, hold_s) for number in range(1, EXCHANGES + 1)
        ]
        self.controllers: list[ControllerProcess] = []

    @property
    def now(self) -> float:
        return self.loop.time()

    def entry(self, exchange: StandInExchange, lifecycle: str) -> dict[str, Any]:
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
        seq = len(self.events) + 1
        fleet = {"generation": seq, "reset": reset, "instances": list(entries)}
        self.events.append({"seq": seq, "fleet": fleet})
        for controller in self.controllers:
            controller.change_log.announce_event(seq)
        return seq

    async def play(self) -> Result:
        for exchange in self.exchanges:
            await exchange.start()
        self.publish(*(self.entry(exchange, "up") for exchange in self.exchanges), reset=True)
        self.controllers = [ControllerProcess(index, self) for index in range(CONTROLLERS)]
        await asyncio.gather(*(controller.start() for controller in self.controllers))
        began = self.now
        work = [
            self.loop.create_task(each.callers.place_calls(RATE, began + FAULTS_S + TAIL_S - 4.0))
            for each in self.controllers
        ]
        work += [self.loop.create_task(self.trouble(began)) for _ in range(3)]
        await asyncio.gather(*work)
        await asyncio.sleep(max(0.0, began + FAULTS_S + TAIL_S - self.now))
        for controller in self.controllers:
            for task in list(controller.callers.tasks):
                task.cancel()
        self.ledger.check_unfinished_calls(self.now)
        for controller in self.controllers:
            await controller.end()
        for exchange in self.exchanges:
            exchange.stop()
        return self.result()

    def result(self) -> Result:
        counts: dict[str, int] = {"cut live": self.ledger.standing_calls_released}
        for controller in self.controllers:
            for name, count in controller.callers.counts.items():
                counts[name] = counts.get(name, 0) + count
        return Result(self.seed, self.ledger.violations, counts, self.faults)

    # Faults

    async def trouble(self, began: float) -> None:
        """Faults one after another; three of these run beside each other."""
        kinds = [
            self.vanish,
            self.vanish,
            self.cut,
            self.die,
            self.hang,
            self.resets,
            self.spoil,
            self.late_connections,
            self.discovery,
            self.discovery,
            self.drain,
            self.drain,
            self.reload,
            self.restart,
            self.restart,
            self.standby,
            self.bad_clients,
            self.crowd,
        ]
        while self.now < began + FAULTS_S:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            fault = self.random.choice(kinds)
            self.faults.append(f"{self.now - began:.2f} {fault.__name__}")
            await fault()

    def sound(self) -> StandInExchange | None:
        """An exchange that no other fault has, so that each fault knows what it sees."""
        free = [each for each in self.exchanges if not each.has_exclusive_fault]
        return self.random.choice(free) if len(free) > 1 else None

    async def vanish(self) -> None:
        exchange = self.sound()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.vanish()
            if self.random.random() < 0.6:
                await asyncio.sleep(self.random.uniform(5.0, 7.0))
                exchange.return_as_new_process()
            else:
                await asyncio.sleep(self.random.uniform(5.3, 9.0))
                await self.replace(exchange)

    async def replace(self, exchange: StandInExchange) -> None:
        """The list names another exchange in its place."""
        fresh = StandInExchange(exchange.number, self.ledger, self.random, exchange.mean_holding_s)
        await fresh.start()
        self.exchanges[self.exchanges.index(exchange)] = fresh
        self.publish(self.entry(exchange, "removed"), self.entry(fresh, "up"))
        self.loop.call_later(1.0, exchange.stop)

    async def cut(self) -> None:
        exchange = self.sound()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.cut_network()
            await asyncio.sleep(self.random.uniform(0.5, 6.0))
            exchange.restore_network()

    async def die(self) -> None:
        exchange = self.sound()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.crash()
            await asyncio.sleep(self.random.uniform(0.3, 4.0))
            exchange.proxy.resume_accepting()

    async def hang(self) -> None:
        exchange = self.sound()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            exchange.hang()
            await asyncio.sleep(self.random.uniform(1.0, 6.0))
            exchange.resume()

    async def resets(self) -> None:
        for _ in range(self.random.randrange(1, 5)):
            exchange = self.random.choice(self.exchanges)
            if exchange.connections and exchange.is_reachable:
                self.random.choice(exchange.connections).reset()
            await asyncio.sleep(self.random.uniform(0.0, 0.3))

    async def spoil(self) -> None:
        exchange = self.random.choice(self.exchanges)
        exchange.corrupts_answers = True
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        exchange.corrupts_answers = False

    async def late_connections(self) -> None:
        exchange = self.random.choice(self.exchanges)
        exchange.proxy.accept_delay_s = self.random.uniform(0.1, 1.0)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        exchange.proxy.accept_delay_s = 0.0

    async def discovery(self) -> None:
        change_log = self.random.choice(self.controllers).change_log
        mode = self.random.choice([Mode.DOWN, Mode.SILENT, Mode.SLOW])
        await change_log.set_mode(mode)
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        if change_log in [controller.change_log for controller in self.controllers]:
            await change_log.set_mode(Mode.UP)

    async def drain(self) -> None:
        """An exchange drains, is replaced, and its process ends."""
        exchange = self.sound()
        if exchange is None:
            return
        with exchange.exclusive_fault():
            seq = self.publish(self.entry(exchange, "draining"))
            watch = self.loop.create_task(self.watch_drain(exchange, seq))
            await asyncio.sleep(self.random.uniform(1.0, 5.0))
            if self.random.random() < 0.5:
                exchange.proxy.refuse_connections()  # it takes no more connections and ends its calls
                await asyncio.sleep(self.random.uniform(0.5, 2.0))
            await self.replace(exchange)
            exchange.lose_process()
            watch.cancel()

    async def watch_drain(self, exchange: StandInExchange, seq: int) -> None:
        """The rule binds once a controller counts as told; the exchange holds all to the last of them."""
        while True:
            told = [controller.change_log.delivery_time_s(seq) for controller in self.controllers]
            known = [at for at in told if at is not None]
            if len(known) == len(told):
                exchange.set_up_deadline_s = max(known) + DRAIN_GRACE_S + TOLERANCE_S
            await asyncio.sleep(0.05)

    async def reload(self) -> None:
        controller = self.random.choice(self.controllers)
        for _ in range(self.random.randrange(1, 4)):
            await controller.reload()
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def restart(self) -> None:
        controller = self.random.choice(self.controllers)
        for _ in range(self.random.randrange(1, 3)):
            await controller.restart(outright=self.random.random() < 0.2)
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def standby(self) -> None:
        controller = self.random.choice(self.controllers)
        await controller.operator("/standby")
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        await controller.operator("/active")

    async def bad_clients(self) -> None:
        callers = self.random.choice(self.controllers).callers
        for _ in range(self.random.randrange(1, 20)):
            callers.start_task(callers.send_malformed_input())

    async def crowd(self) -> None:
        if self.seed % 3 == 0:
            await self.random.choice(self.controllers).callers.open_idle_connections(400)
