"""Batches of simulator lines to replies: hosts many agents that share nothing. No decision is made here."""

from __future__ import annotations

from typing import TextIO

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.policy import Policy

REMEMBERED = 50_000  # calls and exchanges an agent is held to know, so that a long run needs no more memory


class RecentNames:
    """Names met, the latest only: what was met long ago is forgotten."""

    def __init__(self, most: int = REMEMBERED) -> None:
        self.most = most
        self.names: dict[str, None] = {}

    def __contains__(self, name: str) -> bool:
        return name in self.names

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: str) -> None:
        self.names.pop(name, None)
        self.names[name] = None
        if len(self.names) > self.most:
            del self.names[next(iter(self.names))]


class Agent:
    """One hosted instance: its policy, the names of its report's values and the events of this batch."""

    def __init__(self, policy: Policy, report_names: tuple[str, ...]) -> None:
        self.policy = policy
        self.report_names = report_names
        self.known, self.calls = RecentNames(), RecentNames()
        self.events: list[it.Event] = []


class SimulatorAdapter:
    """Reads batches line by line and answers each."""

    def __init__(self, answers: TextIO, complaints: TextIO) -> None:
        self.answers = answers
        self.complaints = complaints
        self.agents: dict[int, Agent] = {}
        self.banks: dict[int, tuple[it.ListedExchange, ...]] = {}
        self.current = -1
        self.now_ns = 0
        self.batch_index = 0
        self.in_batch = False
        self.line_number = 0
        self.bank = -1
        self.bank_left = 0
        self.bank_entries: list[it.ListedExchange] = []

    def complain(self, message: str) -> None:
        print(f"line {self.line_number}: {message}", file=self.complaints, flush=True)

    def run(self, lines: TextIO) -> int:
        for line in lines:
            self.line_number += 1
            line = line.rstrip("\r\n")
            if not line.strip():
                continue
            try:
                self.take(line)
            except wire.MalformedInputError as error:
                self.complain(f"{line.partition(' ')[0]}: {error}")
        if self.in_batch:
            self.complain("BATCH: input ended before EOB")
        return 0

    def take(self, line: str) -> None:
        name, fields = wire.split_line(line)
        if self.bank_left and name != "EXCHANGE":
            missing, self.bank_left = self.bank_left, 0
            self.close_bank()
            self.complain(f"{name}: field hosts: {missing} EXCHANGE lines are missing from the ROSTER before")
        if name == "BATCH":
            self.now_ns = wire.read_integer(fields, "tsNs")
            self.batch_index = wire.read_integer(fields, "n")
            self.in_batch, self.current = True, -1
        elif not self.in_batch:
            raise wire.MalformedInputError("field BATCH: a line outside any batch")
        elif name == "EOB":
            self.reply()
        elif name == "TO":
            self.current = wire.read_integer(fields, "i")
        elif name == "ROSTER":
            self.bank, self.bank_left = wire.read_integer(fields, "bank"), wire.read_integer(fields, "hosts")
            self.bank_entries = []
            if self.bank_left <= 0:
                self.close_bank()
        elif name == "EXCHANGE":
            self.take_entry(fields)
        elif name == "BEGIN":
            settings, names = wire.read_settings(wire.read_text(fields, "options"))
            self.agents[self.current] = Agent(Policy(settings, wire.read_integer(fields, "salt")), names)
        elif name == "KILL":
            self.agents.pop(self.current, None)
        else:
            self.take_event(name, fields)

    def take_entry(self, fields: dict[str, str]) -> None:
        if self.bank_left <= 0:
            raise wire.MalformedInputError("field hosts: more EXCHANGE lines than the ROSTER announced")
        self.bank_left -= 1
        try:
            self.bank_entries.append(wire.read_entry(fields))
        finally:
            if self.bank_left == 0:
                self.close_bank()

    def close_bank(self) -> None:
        self.banks[self.bank] = tuple(self.bank_entries)

    def take_event(self, name: str, fields: dict[str, str]) -> None:
        agent = self.agents.get(self.current)
        if agent is None:
            if name == "BACKENDS_CHANGED" or wire.read_event(name, fields, ()) is not None:
                raise wire.MalformedInputError(f"field i: no instance {self.current} has begun")
            return
        if name == "BACKENDS_CHANGED":
            kind = wire.read_choice(fields, "how", wire.LIST_KINDS)
            entries: tuple[it.ListedExchange, ...] = ()
            if kind is not it.ListKind.FAILED:
                bank = wire.read_integer(fields, "bank")
                if bank not in self.banks:
                    raise wire.MalformedInputError(f"field bank: no ROSTER has number {bank}")
                entries = self.banks[bank]
            for entry in entries:
                agent.known.add(entry.exchange)
            agent.events.append(it.ExchangeList(kind, entries))
            return
        event = wire.read_event(name, fields, agent.report_names)
        if event is None:
            return
        if isinstance(event, it.CallEstablished | it.ProbeAnswer) and event.exchange not in agent.known:
            raise wire.MalformedInputError(
                f"field exchange: {event.exchange!r} is in no list of this instance"
            )
        if isinstance(event, it.CallOffered):
            agent.calls.add(event.call)
        elif (
            isinstance(event, it.CallEstablished | it.AttemptEnded | it.CallerLeft)
            and event.call not in agent.calls
        ):
            raise wire.MalformedInputError(f"field msgId: {event.call} was never given to this instance")
        agent.events.append(event)

    def reply(self) -> None:
        out: list[str] = []
        for index, agent in sorted(self.agents.items()):
            if agent.events:
                events, agent.events = agent.events, []
                actions = agent.policy.handle(self.now_ns, events)
                if actions:
                    out.append(f"AT i={index}")
                    out.extend(wire.write_action(action) for action in actions)
        out.append(f"EOR n={self.batch_index}")
        self.answers.write("\n".join(out) + "\n")
        self.answers.flush()
        self.in_batch = False
