"""Connects the simulator to the policy: reads batches of lines and replies with the policy's actions.

One adapter hosts many controllers, which share nothing. It makes no decisions.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TextIO

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.policy import Policy

# How many calls, and how many exchanges, are remembered as known to a controller: bounds the memory of a long
# run.
MAX_RECENT_NAMES = 50_000


class RecentNames:
    """A set of the names that were added last; beyond the limit the name added longest ago is dropped."""

    def __init__(self, limit: int = MAX_RECENT_NAMES) -> None:
        self.limit = limit
        self.names: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self.names

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: str) -> None:
        """Adds the name, or makes it the latest one if it is in the set already."""
        self.names.pop(name, None)
        self.names[name] = None
        if len(self.names) > self.limit:
            self.names.popitem(last=False)


class HostedController:
    """One controller of the simulation: its policy, what it has been given, and its events of this batch."""

    def __init__(self, policy: Policy, report_names: tuple[str, ...]) -> None:
        self.policy = policy
        self.report_names = report_names  # names of the values in a load report, in their order
        self.known_exchanges, self.known_calls = RecentNames(), RecentNames()
        self.events: list[it.Event] = []


class SimulatorAdapter:
    """Reads batches line by line and replies to each at its end."""

    def __init__(self, replies: TextIO, errors: TextIO) -> None:
        self.replies = replies
        self.errors = errors
        self.controllers: dict[int, HostedController] = {}  # by index
        self.lists: dict[int, tuple[it.ListedExchange, ...]] = {}  # exchange lists by number
        self.current_index = -1  # of the controller that the lines are for; -1 for none
        self.now_ns = 0  # time of the batch
        self.batch_index = 0
        self.in_batch = False
        self.line_number = 0  # of the input, from 1
        self.list_number = -1  # of the list that is being read, or was read last
        self.missing_entries = 0  # how many lines of that list are still to come
        self.list_entries: list[it.ListedExchange] = []

    def report_error(self, message: str) -> None:
        """Writes an error message with the number of the current line."""
        print(f"line {self.line_number}: {message}", file=self.errors, flush=True)

    def run(self, lines: TextIO) -> int:
        """Processes all input and returns the exit status, which is always 0.

        A line that cannot be read is reported with its number, message and field, and skipped.
        """
        for line in lines:
            self.line_number += 1
            line = line.rstrip("\r\n")
            if not line.strip():
                continue
            try:
                self.process_line(line)
            except wire.MalformedInputError as error:
                self.report_error(f"{line.partition(' ')[0]}: {error}")
        if self.in_batch:
            self.report_error("BATCH: input ended before EOB")
        return 0

    def process_line(self, line: str) -> None:
        """Carries out one line; raises MalformedInputError if it cannot be read or is out of place."""
        name, fields = wire.split_line(line)
        if self.missing_entries and name != "EXCHANGE":
            missing, self.missing_entries = self.missing_entries, 0
            self.store_list()
            self.report_error(
                f"{name}: field hosts: {missing} EXCHANGE lines are missing from the preceding ROSTER"
            )
        if name == "BATCH":
            self.now_ns = wire.read_integer(fields, "tsNs")
            self.batch_index = wire.read_integer(fields, "n")
            self.in_batch, self.current_index = True, -1
        elif not self.in_batch:
            raise wire.MalformedInputError("field BATCH: a line outside any batch")
        elif name == "EOB":
            self.write_replies()
        elif name == "TO":
            self.current_index = wire.read_integer(fields, "i")
        elif name == "ROSTER":
            self.list_number, self.missing_entries = (
                wire.read_integer(fields, "bank"),
                wire.read_integer(fields, "hosts"),
            )
            self.list_entries = []
            if self.missing_entries <= 0:
                self.store_list()
        elif name == "EXCHANGE":
            self.add_list_entry(fields)
        elif name == "BEGIN":
            settings, report_names = wire.read_settings(wire.read_text(fields, "options"))
            self.controllers[self.current_index] = HostedController(
                Policy(settings, wire.read_integer(fields, "salt")), report_names
            )
        elif name == "KILL":
            self.controllers.pop(self.current_index, None)
        else:
            self.queue_event(name, fields)

    def add_list_entry(self, fields: dict[str, str]) -> None:
        """Adds an EXCHANGE line to the list being read, and stores the list with its last one.

        A malformed entry counts as one of the announced lines.
        """
        if self.missing_entries <= 0:
            raise wire.MalformedInputError("field hosts: more EXCHANGE lines than the ROSTER announced")
        self.missing_entries -= 1
        try:
            self.list_entries.append(wire.read_entry(fields))
        finally:
            if self.missing_entries == 0:
                self.store_list()

    def store_list(self) -> None:
        """Stores the entries read so far under the number of their list."""
        self.lists[self.list_number] = tuple(self.list_entries)

    def queue_event(self, name: str, fields: dict[str, str]) -> None:
        """Queues the event of a line for the current controller; an unknown message is skipped."""
        controller = self.controllers.get(self.current_index)
        if controller is None:
            if name == "BACKENDS_CHANGED" or wire.read_event(name, fields, ()) is not None:
                raise wire.MalformedInputError(f"field i: no instance {self.current_index} has begun")
            return
        if name == "BACKENDS_CHANGED":
            kind = wire.read_choice(fields, "how", wire.LIST_KINDS)
            entries: tuple[it.ListedExchange, ...] = ()
            if kind is not it.ListKind.FAILED:
                list_number = wire.read_integer(fields, "bank")
                if list_number not in self.lists:
                    raise wire.MalformedInputError(f"field bank: no ROSTER has number {list_number}")
                entries = self.lists[list_number]
            for entry in entries:
                controller.known_exchanges.add(entry.exchange)
            controller.events.append(it.ExchangeList(kind, entries))
            return
        event = wire.read_event(name, fields, controller.report_names)
        if event is None:
            return
        if (
            isinstance(event, it.CallEstablished | it.ProbeAnswer)
            and event.exchange not in controller.known_exchanges
        ):
            raise wire.MalformedInputError(
                f"field exchange: {event.exchange!r} is in no list of this instance"
            )
        if isinstance(event, it.CallOffered):
            controller.known_calls.add(event.call)
        elif (
            isinstance(event, it.CallEstablished | it.AttemptEnded | it.CallerLeft)
            and event.call not in controller.known_calls
        ):
            raise wire.MalformedInputError(f"field msgId: {event.call} was never given to this instance")
        controller.events.append(event)

    def write_replies(self) -> None:
        """Lets each controller with events decide, in the order of their index, and writes the reply."""
        reply: list[str] = []
        for index, controller in sorted(self.controllers.items()):
            if controller.events:
                events, controller.events = controller.events, []
                actions = controller.policy.handle(self.now_ns, events)
                if actions:
                    reply.append(f"AT i={index}")
                    reply.extend(wire.write_action(action) for action in actions)
        reply.append(f"EOR n={self.batch_index}")
        self.replies.write("\n".join(reply) + "\n")
        self.replies.flush()
        self.in_batch = False
