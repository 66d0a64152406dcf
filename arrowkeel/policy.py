"""Call control decisions: which route a call takes, and whether it is sent, queued or refused.

Settings, events and actions are defined in arrowkeel/interface.py. Overload is handled by the rate control
with hysteresis of docs/design.md: the knowledge of each processor expires, the direct route comes first,
then a tandem drawn by weight, and the last circuits of a group are reserved (trunk reservation). The load of
a processor is one figure, relative to its overload threshold, which is 1.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from arrowkeel import interface as it
from arrowkeel import repeat_rule
from arrowkeel.processor import (
    BASE_TOLERANCE,
    BLOCKING,
    BLOCKING_LOAD,
    CRANKBACK_SMOOTHING,
    DEMAND_WINDOW_NS,
    LOCAL_RATE_INCREASE,
    NORMAL,
    OVERLOAD_LOAD,
    PROBE_INTERVAL_NS,
    SENT_WINDOW_NS,
    TRIAL_INTERVAL_NS,
    WORTH_TOLERANCE,
    Processor,
)
from arrowkeel.state import MAX_KEYS, NS_PER_S, CallState, ExponentialBackoff, FirstSeen, Route

# Names of the overload states, in the order of their values.
STATE_NAMES = ("normal", "overload", "blocking")

# The intervals of overload control are meant for this longest target of a set-up. With shorter targets they
# shrink in proportion, down to the minimum scale.
REFERENCE_TARGET_NS, MIN_TIME_SCALE = 3 * NS_PER_S // 2, 0.25

# Up to this many controllers, one call from each (as minimum rate, bucket tolerance or trial) is little load
# for a processor; more controllers share that allowance.
UNSHARED_CONTROLLERS = 9.0

# Waiting time that counts as the overload threshold, as a share of the longest target: a set-up still meets
# its target after such a wait at two processors and a retry.
OVERLOAD_WAIT_SHARE = 0.2

# Reported values that count as the overload threshold: the share by which the processor asks to reduce the
# calls sent to it, and the number of messages in its queue.
OVERLOAD_REDUCTION_SHARE, OVERLOAD_QUEUED_MESSAGES = 0.25, 10.0

# Overload is widespread, and calls take no tandem, while this share of the recently responding processors is
# not in the normal state, and at least this number of them.
WIDESPREAD_OVERLOAD_SHARE, WIDESPREAD_OVERLOAD_MIN = 0.1, 3.0

# The excess delay of the local processor is the one at position count // 12 among those towards the remote
# exchanges, in rising order: the lowest of up to eleven, about the lowest twelfth of more.
LOCAL_EXCESS_DIVISOR = 12

# Trunk reservation: the share of a circuit group that is reserved against transit calls and calls by way of a
# tandem. The same share, but at most this number of circuits, is reserved against direct calls of no worth.
TRUNK_RESERVATION_SHARE, MAX_DIRECT_RESERVATION = 0.1, 2.0

# Weight of a tandem: the part of the distance to 1 that a success adds, the factor of a returned call, and
# the minimum.
TANDEM_WEIGHT_GAIN, TANDEM_WEIGHT_LOSS, MIN_TANDEM_WEIGHT = 0.7, 0.3, 0.03

# Weight of an untried tandem, far below that of a proven one, and how many tandems are sampled for one draw.
UNTRIED_TANDEM_WEIGHT, TANDEM_SAMPLE_SIZE = 0.1, 8

# A tandem that returned a call is not used towards that destination for this time, divided by its weight. A
# call tries few tandems, because each attempt costs work at two exchanges.
CRANKBACK_BAR_NS, MAX_TANDEMS_PER_CALL = NS_PER_S, 2

# Weight that is added to an advised tandem, as a multiple of the sum of all candidates' weights.
ADVISED_TANDEM_SHARE = 1.0

# A set-up counts as lost when it was overtaken this long ago, or longer where the set-up delay is longer, and
# this many more have been established since.
LOST_AFTER_NS, LOST_AFTER_SET_UPS = NS_PER_S // 20, 2

# Interval at which states are updated and queued calls are tried again; and how late the timer has to be for
# the controller to conclude that its own process was stalled.
TICK_NS, STALL_NS = NS_PER_S // 40, NS_PER_S // 10

# Shares of a target: how long a call may be queued, so that the rest is left for its set-up; and, of the
# shortest target, how long an exchange may leave set-ups without any response until it counts as silent.
QUEUEING_SHARE, SILENCE_SHARE = 0.7, 0.6

# The part of a starting processor's allowed load that is used, for safety; and the least number of calls per
# second that all controllers without knowledge of the demand send to it together.
COLD_BUDGET_SHARE, MIN_COLD_RATE_PER_S = 0.6, 3.0

# Call gapping of a number whose lines were all busy: the first gap, and the maximum to which it doubles.
BUSY_NUMBER_GAP_NS, MAX_BUSY_NUMBER_GAP_NS = NS_PER_S, 8 * NS_PER_S


ExchangeRoute = Route[Processor]
Call = CallState[Processor]


class Policy:
    """Decisions of one controller. `handle` has no clock, input or output, and controllers share nothing.

    Equal settings, seed and events give equal actions. `max_numbers` bounds the numbers called that each of
    its two tables of them holds.
    """

    def __init__(self, settings: it.Settings, seed: int, max_numbers: int = MAX_KEYS) -> None:
        self.settings, self.random = settings, Random(seed)
        # The intervals suit calls that are to be established within seconds. With shorter targets the waits
        # are shorter as well, and intervals of full length would outlive the overload that they protect
        # against. Longer targets leave the intervals unchanged.
        self.time_scale = min(1.0, max(MIN_TIME_SCALE, settings.longest_target_ns / REFERENCE_TARGET_NS))
        self.local_processor, self.sharing_factor = (
            Processor(1.0, self.time_scale),
            max(1.0, settings.controllers / UNSHARED_CONTROLLERS),
        )
        self.local_processor.recovery_increase = LOCAL_RATE_INCREASE
        # With sixty controllers in doubt about sixty exchanges, probes at the full rate outnumbered the
        # calls and were served at their expense. The longer interval bounds the load that any common
        # overload adds. The drawback: that an exchange has recovered is noticed seconds later.
        self.probe_interval_ns = int(PROBE_INTERVAL_NS * self.sharing_factor)
        # `min_delay_ns` is the shortest set-up delay seen so far, taken as the delay without load.
        self.overload_wait_ns, self.min_delay_ns = (
            OVERLOAD_WAIT_SHARE * settings.longest_target_ns,
            float(settings.longest_target_ns),
        )
        # By exchange identifier; the watched ones have news or are not in the normal state, and are updated
        # on every tick.
        self.routes, self.watched_routes = dict[str, ExchangeRoute](), dict[str, ExchangeRoute]()
        self.routes_by_number: dict[int, ExchangeRoute] = {}
        self.calls, self.queued_calls = dict[str, Call](), dict[str, Call]()
        self.overtaken_calls = dict[str, int]()  # when a later set-up overtook that of the call
        self.gapped_numbers = ExponentialBackoff(BUSY_NUMBER_GAP_NS, MAX_BUSY_NUMBER_GAP_NS, max_numbers)
        self.first_offers = FirstSeen(settings.longest_deadline_ns, max_numbers)
        self.remote_numbers: list[int] = []
        self.crankback_share = 0.0  # share of recent tandem attempts that were returned, to any destination
        self.is_overload_widespread, self.sends_probes = (
            False,
            settings.may_probe and settings.reporting is it.LoadReporting.ON_PROBE,
        )
        # When the first and the last batch of events was handled, when the event in hand arrived, when the
        # next tick is due, when the process was last found stalled, and when the exchange list is to be
        # requested again.
        self.first_handled_at_ns = self.last_handled_at_ns = self.event_arrived_at_ns = (
            self.next_tick_at_ns
        ) = self.stalled_at_ns = self.list_request_at_ns = 0
        self.actions: list[it.Action] = []
        self.handlers: dict[type, Callable[[Any, int], None]] = {
            it.CallOffered: self.on_call_offered,
            it.CallEstablished: self.on_call_established,
            it.AttemptEnded: self.on_attempt_ended,
            it.CallerLeft: lambda event, _: self.close_call(event.call),
            it.ProbeAnswer: self.on_probe_answer,
            it.ExchangeList: self.on_exchange_list,
        }

    def handle(self, now_ns: int, events: Sequence[it.Event]) -> Sequence[it.Action]:
        """Takes a batch of events in the order of their arrival; returns the actions to perform, in order."""
        self.actions = []
        self.first_handled_at_ns = self.first_handled_at_ns or now_ns
        if self.next_tick_at_ns and now_ns - self.next_tick_at_ns > STALL_NS:
            # A late timer shows that this process was stalled. Without it all remote exchanges would seem to
            # have become slow at once.
            self.stalled_at_ns = now_ns
            for route in self.routes.values():
                route.processor.pending.reset_ages(now_ns)
        for position, event in enumerate(events, 1):
            # The arrival times within a batch are unknown; they are spread evenly over the time since the
            # last one.
            self.event_arrived_at_ns = self.last_handled_at_ns + (
                now_ns - self.last_handled_at_ns
            ) * position // len(events)
            if handler := self.handlers.get(type(event)):
                handler(event, now_ns)
        self.last_handled_at_ns = now_ns
        self.run_tick(now_ns)
        return self.actions

    def is_skipped(self, exchange: str) -> bool:
        """Whether an exchange gets no calls at present, except for trial calls; shown to operators."""
        route = self.routes.get(exchange)
        return (
            route is None
            or not route.is_serving
            or route.processor.is_silent
            or route.processor.state == BLOCKING
        )

    def on_exchange_list(self, event: it.ExchangeList, now_ns: int) -> None:
        """Takes over a complete exchange list or changes to it."""
        if event.kind in (it.ListKind.COMPLETE, it.ListKind.REMEMBERED):
            for route in self.routes.values():
                route.is_serving = False  # an exchange that a complete list leaves out is gone
        for entry in event.entries:
            new_route = ExchangeRoute(
                entry.exchange, entry.number, Processor(self.sharing_factor, self.time_scale)
            )
            route = self.routes.setdefault(entry.exchange, new_route)
            route.number, route.is_serving = entry.number, entry.status is it.ExchangeStatus.SERVING
            route.zone = entry.zone
            for processor in (
                (route.processor, self.local_processor)
                if route.number == self.settings.own_number
                else (route.processor,)
            ):
                if entry.started_ns > processor.started_at_ns:
                    processor.reset_after_restart(entry.started_ns, now_ns)
                    # The bucket starts at a random level, so that the controllers do not send in step.
                    processor.bucket.set_level(
                        self.random.random() / (self.allowed_cold_rate_per_s(processor, now_ns) or NS_PER_S),
                        now_ns,
                    )
            if route.is_serving or entry.number not in self.routes_by_number:
                old_route = self.routes_by_number.get(entry.number)
                if old_route is not None and old_route is not route:
                    # A replacement takes over the circuit group, the weights of its tandems and the demand.
                    route.circuits_free, route.circuits_total, route.tandem_weights = (
                        old_route.circuits_free,
                        old_route.circuits_total,
                        old_route.tandem_weights,
                    )
                    route.processor.demand = old_route.processor.demand
                self.routes_by_number[entry.number] = route
        self.routes = {
            known.exchange: known
            for known in self.routes.values()
            if known.is_serving or self.routes_by_number[known.number] is known
        }
        self.remote_numbers = sorted(self.routes_by_number.keys() - {self.settings.own_number})

    def record_report(self, exchange: str, report: it.LoadReport | None, now_ns: int) -> None:
        """Records the reported figures of an exchange; each load figure is put on the scale of the load."""
        route = self.routes.get(exchange)
        if route is None or report is None:
            return
        if report.free_circuits is not None:
            route.circuits_free, route.circuits_total = (
                report.free_circuits,
                report.group_size or route.circuits_total,
            )
        if report.max_set_ups_per_s is not None:
            route.processor.fair_share_per_s = report.max_set_ups_per_s / self.settings.controllers
        scales = (  # each value with the one that counts as the overload threshold
            (report.wait_ns, self.overload_wait_ns),
            (report.reduction_share, OVERLOAD_REDUCTION_SHARE),
            (report.queued_messages, OVERLOAD_QUEUED_MESSAGES),
        )
        if loads := [value / overload_value for value, overload_value in scales if value is not None]:
            processor = self.local_processor if route.number == self.settings.own_number else route.processor
            processor.reported_load, processor.load_reported_at_ns = max(loads), now_ns
            self.watched_routes[route.exchange] = route

    def on_probe_answer(self, event: it.ProbeAnswer, now_ns: int) -> None:
        """Records a probe's answer, or a report on the circuit group towards an exchange."""
        self.record_report(event.exchange, event.report, now_ns)
        route = self.routes.get(event.exchange)
        if route is not None and event.delay_ns and event.ending is it.Ending.COMPLETED:
            # Without a delay it is only news of the local circuit group, not a response.
            route.processor.record_response(now_ns)

    def local_excess_delay_ns(self, now_ns: int) -> float:
        """The part of the set-up delay that is due to the local processor.

        A delay that rises towards all remote exchanges is caused locally; the silence of a dead one is not.
        """
        responsive = (
            route.processor for route in self.watched_routes.values() if not route.processor.is_silent
        )
        excesses_ns = [
            remote.excess_delay_ns(now_ns, self.min_delay_ns)
            for remote in responsive
            if remote.pending or remote.responded_at_ns > now_ns - remote.base_validity_ns
        ]
        return sorted(excesses_ns)[len(excesses_ns) // LOCAL_EXCESS_DIVISOR] if len(excesses_ns) > 1 else 0.0

    def update_states(self, now_ns: int) -> None:
        """Updates the state of the local processor and of all watched ones.

        Missing responses count through the age of the pending set-ups.
        """
        local_excess_ns = self.local_excess_delay_ns(now_ns)
        reported_load = (
            self.local_processor.reported_load
            if self.local_processor.load_reported_at_ns > now_ns - self.local_processor.base_validity_ns
            else 0.0
        )
        local_load = max(local_excess_ns / self.overload_wait_ns, reported_load)
        has_news = local_load > 0 or any(
            watched.processor.pending or watched.processor.responded_at_ns > now_ns - NS_PER_S
            for watched in self.watched_routes.values()
        )
        self.update_processor("own processor", self.local_processor, local_load if has_news else -1.0, now_ns)
        responding = [
            watched.processor
            for watched in self.watched_routes.values()
            if watched.processor.responded_at_ns > now_ns - watched.processor.base_validity_ns
        ]
        self.is_overload_widespread = sum(remote.state != NORMAL for remote in responding) >= max(
            WIDESPREAD_OVERLOAD_MIN, WIDESPREAD_OVERLOAD_SHARE * len(responding)
        )
        for route in list(self.watched_routes.values()):
            processor, report_validity_ns = route.processor, route.processor.validity_ns(now_ns)
            load = (
                max(0.0, processor.excess_delay_ns(now_ns, self.min_delay_ns) - local_excess_ns)
                / self.overload_wait_ns
            )
            load = max(
                load,
                processor.reported_load
                if processor.load_reported_at_ns > now_ns - report_validity_ns
                else 0.0,
            )
            oldest_sent_at_ns = processor.pending.oldest_sent_at_ns(now_ns)
            lacks_responses = (
                now_ns - max(oldest_sent_at_ns, processor.responded_at_ns)
                > SILENCE_SHARE * self.settings.shortest_target_ns
            )
            if (
                lacks_responses
                and not processor.is_silent
                and len(processor.pending) + processor.unanswered > 1
                and local_load < OVERLOAD_LOAD
            ):
                processor.mark_silent(now_ns, self.random_spread())
            has_news = (
                len(processor.pending) > 0
                or load > 0
                or processor.responded_at_ns > now_ns - processor.base_validity_ns
            )
            self.update_processor(f"exchange {route.number}", processor, load if has_news else -1.0, now_ns)
            if route.is_serving and (
                processor.is_silent
                or processor.state != NORMAL
                or now_ns - oldest_sent_at_ns > self.overload_wait_ns / 2
            ):
                self.send_probe_if_due(route, self.probe_interval_ns, now_ns)
            elif not has_news and processor.state == NORMAL:
                # Exchanges that left the list stay watched until then: their state has to expire too, or
                # they would be blocked when they come back.
                del self.watched_routes[route.exchange]

    def send_probe_if_due(self, route: ExchangeRoute | None, interval_ns: int, now_ns: int) -> None:
        """Probes a serving exchange where probes report the load, at most once per interval."""
        if route is not None and route.is_serving and self.sends_probes and now_ns >= route.next_probe_at_ns:
            self.actions.append(it.Probe(route.exchange))
            route.next_probe_at_ns = now_ns + int(interval_ns * self.random_spread())

    def update_processor(self, name: str, processor: Processor, load: float, now_ns: int) -> None:
        """Updates one processor with its load, below 0 if there is no news; notes a change of its state."""
        previous_state = processor.state
        if load >= 0:
            processor.apply_load(load, now_ns, self.random.random())
        processor.expire_state(now_ns)
        if processor.state != previous_state:
            self.actions.append(
                it.Note(f"{name} {STATE_NAMES[previous_state]} to {STATE_NAMES[processor.state]}: {load:.1f}")
            )

    def on_call_offered(self, event: it.CallOffered, now_ns: int) -> None:
        """Accepts a call, determines its target, worth and longest time in the queue, and decides on it."""
        arrived_at_ns, is_identifiable = self.event_arrived_at_ns, event.number_called and not event.transit
        # A redial keeps the target of the first attempt, unless it is made because the call was interrupted.
        first_at_ns = (
            self.first_offers.get_or_record(event.number_called, now_ns, arrived_at_ns)
            if is_identifiable
            else arrived_at_ns
        )
        call_class, target_from_ns = (
            self.settings.find_class(event.class_name),
            arrived_at_ns if event.was_interrupted else first_at_ns,
        )
        target_at_ns, patience_ends_at_ns = (
            target_from_ns + call_class.target_ns,
            now_ns + max(0, event.patience_ns),
        )
        direct_route = self.routes_by_number.get(event.destination)
        if first_at_ns == arrived_at_ns:  # no redial
            self.local_processor.demand.add(arrived_at_ns)
            if direct_route is not None and not event.transit:
                direct_route.processor.demand.add(arrived_at_ns)
        # A redial whose first attempt is not known here counts as late.
        is_late = now_ns >= target_at_ns or (
            first_at_ns == arrived_at_ns and event.redial and not event.was_interrupted
        )
        worth = call_class.worth * (call_class.late_worth if is_late else 1.0) / self.settings.highest_worth
        queueing_ends_at_ns = min(
            target_at_ns - int(call_class.target_ns * (1 - QUEUEING_SHARE)), patience_ends_at_ns - 2 * TICK_NS
        )
        call = self.calls[event.call] = Call(
            event,
            target_at_ns,
            patience_ends_at_ns,
            now_ns,
            queueing_ends_at_ns,
            worth,
            call_class,
        )
        if not event.transit and self.gapped_numbers.is_blocked(event.number_called, now_ns):
            # Only the busy number is gapped; other calls to its exchange are not throttled.
            self.refuse_call(call, it.RefusalReason.NUMBER_GAPPED)
        else:
            self.decide_call(call, now_ns)

    def decide_call(self, call: Call, now_ns: int) -> None:
        """Sends the call, queues it or answers it finally. Only called while no attempt is in progress."""
        route = self.choose_route(call, now_ns)
        if route is not None:
            self.send_set_up(call, route, now_ns)
        elif self.is_worth_queueing(call, now_ns):
            self.queued_calls[call.id] = call
        elif repeat_rule.may_refuse(call.call_class, call.possible_run):
            self.refuse_call(call, self.refusal_reason(call, now_ns))
        else:
            self.close_call(call.id, it.Fail(call.id, it.FailureReason.MAY_HAVE_RUN))

    def may_set_up(self, call: Call, route: ExchangeRoute, now_ns: int) -> bool:
        """Whether the class of the call permits a set-up on that route after its earlier attempts."""
        return repeat_rule.may_set_up(call.call_class, call.possible_run, route.zone, route.number, now_ns)

    def refusal_reason(self, call: Call, now_ns: int) -> it.RefusalReason:
        """Why a call can be neither sent nor queued; for logs and metrics."""
        direct_route, tolerance = (
            self.routes_by_number.get(call.event.destination),
            self.bucket_tolerance(call),
        )
        if (
            direct_route is None
            or not direct_route.is_serving
            or direct_route.number == self.settings.own_number
        ):
            return it.RefusalReason.NO_ROUTE
        if call.attempts >= self.settings.attempt_limit:
            return it.RefusalReason.ATTEMPTS_USED
        if self.local_processor.next_admission_at_ns(now_ns, tolerance) > now_ns:
            return it.RefusalReason.LOCAL_OVERLOAD
        if direct_route.processor.next_admission_at_ns(now_ns, tolerance) > now_ns:
            is_silent = direct_route.processor.is_silent
            return it.RefusalReason.REMOTE_SILENT if is_silent else it.RefusalReason.REMOTE_OVERLOAD
        if not self.has_free_circuits(direct_route, call, 0.0):
            return it.RefusalReason.NO_CIRCUIT
        return it.RefusalReason.TOO_LATE

    def is_worth_queueing(self, call: Call, now_ns: int) -> bool:
        """Whether the call can still be sent, and established in time, after waiting in the queue.

        A call that can't is answered at once. This prevents calls from waiting in vain until their time is
        over, be it for admission, for an exchange that is gone or for a trial call that is far off, whatever
        the cause. The drawback: where admission opens sooner than is known now, the call is refused in vain.
        """
        direct_route, queue_until_ns = (
            self.routes_by_number.get(call.event.destination),
            min(call.queueing_ends_at_ns, call.patience_ends_at_ns),
        )
        if send_by_ns := repeat_rule.send_by_ns(call.call_class, call.possible_run):
            queue_until_ns = min(queue_until_ns, send_by_ns)
        if not repeat_rule.may_repeat(call.call_class, call.possible_run, now_ns):
            return False
        if call.event.transit or call.attempts >= self.settings.attempt_limit:
            return False
        if (
            max(now_ns, call.earliest_attempt_at_ns) >= queue_until_ns
            or direct_route is None
            or direct_route.number == self.settings.own_number
        ):
            return False
        if self.would_be_late(call, direct_route, now_ns):
            return False
        processors = (
            (self.local_processor, direct_route.processor)
            if self.settings.is_mesh
            else (self.local_processor,)
        )
        if any(
            self.closed_until_ns(processor, now_ns, self.bucket_tolerance(call)) >= queue_until_ns
            for processor in processors
        ):
            return False
        has_tandems_left = len(call.tried_tandems) < MAX_TANDEMS_PER_CALL
        is_direct_possible = direct_route.is_serving and direct_route.circuits_total > 0
        return (is_direct_possible and self.may_set_up(call, direct_route, now_ns)) or (
            has_tandems_left and (direct_route.is_serving or not self.settings.is_mesh)
        )

    def closed_until_ns(self, processor: Processor, now_ns: int, tolerance: float) -> int:
        """Until when a processor certainly admits no call, as far as is known.

        A probe's report or the response to a pending set-up can end blocking at any time.
        """
        may_open = processor.state == BLOCKING and (self.sends_probes or len(processor.pending) > 0)
        return (
            now_ns
            if may_open and not processor.is_silent
            else processor.next_admission_at_ns(now_ns, tolerance)
        )

    def is_overloaded(self, direct_route: ExchangeRoute) -> bool:
        """Whether the local processor or, in a mesh, that of the destination is not in the normal state."""
        return self.local_processor.state != NORMAL or (
            self.settings.is_mesh and direct_route.processor.state != NORMAL
        )

    def would_be_late(self, call: Call, direct_route: ExchangeRoute, now_ns: int) -> bool:
        """Whether, by the last known delay, the call would be established late at an overloaded processor.

        That is not worth the work of an overloaded processor.
        """
        return (
            self.is_overloaded(direct_route) and now_ns + direct_route.processor.delay_ns > call.target_at_ns
        )

    def bucket_tolerance(self, call: Call) -> float:
        """Tolerance of the leaky bucket for the call, in increments of one call; it grows with the worth."""
        return BASE_TOLERANCE + WORTH_TOLERANCE * call.worth

    def choose_route(self, call: Call, now_ns: int) -> ExchangeRoute | None:
        """The route to send the call on now: the direct one or a tandem; None if there is none."""
        if (
            now_ns < call.earliest_attempt_at_ns
            or call.attempts >= self.settings.attempt_limit
            or now_ns >= call.patience_ends_at_ns
            or not repeat_rule.may_repeat(call.call_class, call.possible_run, now_ns)
        ):
            return None
        event, direct_route = call.event, self.routes_by_number.get(call.event.destination)
        tolerance, in_mesh = self.bucket_tolerance(call), self.settings.is_mesh
        if (
            direct_route is None
            or direct_route.number == self.settings.own_number
            or not self.admits_call(self.local_processor, now_ns, tolerance)
        ):
            return None
        is_usable = direct_route.is_serving and self.admits_call(direct_route.processor, now_ns, tolerance)
        overloaded = self.is_overloaded(direct_route)
        if (in_mesh and not is_usable) or self.would_be_late(call, direct_route, now_ns):
            # A tandem helps neither an overloaded destination nor a call that would be late anyway.
            return None
        direct_reservation = min(
            TRUNK_RESERVATION_SHARE * direct_route.circuits_total, MAX_DIRECT_RESERVATION
        ) * (1.0 - call.worth)
        reservation = self.trunk_reservation(direct_route) if event.transit else direct_reservation
        if (
            is_usable
            and self.may_set_up(call, direct_route, now_ns)
            and self.has_free_circuits(direct_route, call, reservation)
        ):
            return direct_route
        may_use_tandem = (
            not (overloaded or event.transit or self.is_overload_widespread)
            and len(call.tried_tandems) < MAX_TANDEMS_PER_CALL
        )
        return self.draw_tandem(call, direct_route, now_ns) if may_use_tandem else None

    def has_free_circuits(self, route: ExchangeRoute, call: Call, reserved: float) -> bool:
        """Whether the call leaves `reserved` circuits of the group free; True where the group is unknown."""
        return route.circuits_free is None or route.circuits_free - call.event.circuits >= int(reserved)

    def trunk_reservation(self, route: ExchangeRoute) -> float:
        """Circuits of the group that are reserved against transit calls and calls by way of a tandem."""
        return max(1.0, TRUNK_RESERVATION_SHARE * route.circuits_total)

    def draw_tandem(self, call: Call, direct_route: ExchangeRoute, now_ns: int) -> ExchangeRoute | None:
        """Draws a tandem at random, weighted by its success towards the destination and its free circuits.

        Candidates are the tandems with a weight, the advised one and a random sample of all; those that are
        not usable now are left out.
        """
        tandem_numbers = self.remote_numbers if self.settings.is_mesh else call.call_class.exchange_numbers
        # Returned calls show that the mesh is full: the more there are, the less often untried tandems are
        # sampled.
        advised, is_mesh_full = (
            call.event.sender_or_advised_tandem,
            self.random.random() < self.crankback_share,
        )
        sampled = (
            []
            if is_mesh_full
            else self.random.sample(tandem_numbers, min(len(tandem_numbers), TANDEM_SAMPLE_SIZE))
        )
        candidates: list[tuple[ExchangeRoute, float]] = []
        for number in dict.fromkeys(
            [*direct_route.tandem_weights, *sampled, *([advised] if advised in tandem_numbers else [])]
        ):
            route = self.routes_by_number.get(number)
            if (
                route is None
                or not route.is_serving
                or not route.circuits_free
                or route.processor.state != NORMAL
                or route is direct_route
                or not self.may_set_up(call, route, now_ns)
            ):
                continue
            # A tandem is not tried twice, unless the call may go nowhere else after an attempt there.
            is_bound = call.possible_run is not None and call.call_class.repeat is it.Repeat.IDEMPOTENCY_KEY
            is_barred = (number in call.tried_tandems and not is_bound) or (
                direct_route.tandem_barred_until_ns.get(number, 0) > now_ns
            )
            # A call by way of a tandem occupies circuits of two groups: the lower its worth, the more are
            # reserved.
            reserved = self.trunk_reservation(route) * (2.0 - call.worth)
            if (
                not is_barred
                and self.has_free_circuits(route, call, reserved)
                and self.admits_call(route.processor, now_ns, 0.0)
            ):
                weight = direct_route.tandem_weights.get(number, UNTRIED_TANDEM_WEIGHT) * (
                    route.circuits_free - self.trunk_reservation(route) + 1.0
                )
                candidates.append((route, weight))
        advised_weight = ADVISED_TANDEM_SHARE * sum(weight for _, weight in candidates)
        weights = [weight + advised_weight * (route.number == advised) for route, weight in candidates]
        return self.random.choices(candidates, weights)[0][0] if candidates else None

    def admits_call(self, processor: Processor, now_ns: int, tolerance: float) -> bool:
        """Whether the processor admits a call now, after its cold rate was brought up to date."""
        processor.cold_rate_per_s = (
            self.allowed_cold_rate_per_s(processor, now_ns) if processor.started_at_ns else 0.0
        )
        return processor.admits(now_ns, tolerance)

    def allowed_cold_rate_per_s(self, processor: Processor, now_ns: int) -> float:
        """Set-ups per second that this controller may send to a starting processor; 0 for no limit.

        It is this controller's part of the processor's budget. A part below one call per window becomes a
        longer interval between calls.
        """
        warm_up_ns, age_ns = self.settings.warm_after_ns, max(0, now_ns - processor.started_at_ns)
        if age_ns >= warm_up_ns:
            return 0.0
        budget_share = self.settings.cold_share + (1.0 - self.settings.cold_share) * age_ns / warm_up_ns
        sender_count = 1 if processor is self.local_processor else self.settings.controllers
        # The part follows what callers ask of this processor. What is sent to it would be the wrong measure:
        # it is little during a failure, whatever its cause, and would starve an exchange that comes back.
        # With a mean over all pairs of exchanges, busy pairs had half of their calls refused, and pairs with
        # little traffic left their part unused. The drawback: calls of a flood count like usual ones.
        demand_per_s = (
            processor.demand.count(now_ns)
            * NS_PER_S
            / max(SENT_WINDOW_NS, min(DEMAND_WINDOW_NS, now_ns - self.first_handled_at_ns))
        )
        return max(
            MIN_COLD_RATE_PER_S / sender_count,
            budget_share * self.settings.cold_multiple * COLD_BUDGET_SHARE * demand_per_s,
        )

    def send_set_up(self, call: Call, route: ExchangeRoute, now_ns: int) -> None:
        """Starts an attempt on that route and counts it at both processors."""
        self.queued_calls.pop(call.id, None)
        call.current_route, call.attempts, call.sent_at_ns = route, call.attempts + 1, now_ns
        if route.number != call.event.destination:
            call.tried_tandems.add(route.number)
        route.circuits_free = (
            None if route.circuits_free is None else max(0, route.circuits_free - call.event.circuits)
        )
        route.processor.record_sent(now_ns)
        route.processor.pending.send_times_ns[call.id] = now_ns
        self.watched_routes[route.exchange] = route
        if route.processor.is_silent:
            # The interval to the next trial call starts now, not when the caller of this one gives up.
            route.processor.mark_silent(now_ns, self.random_spread())
        elif route.processor.sent.count(now_ns, route.processor.base_validity_ns) > 1:
            # Where only probes report the load, an exchange that got more than one call within the validity
            # time is probed in any state.
            self.send_probe_if_due(route, self.probe_interval_ns, now_ns)
        self.local_processor.record_sent(now_ns)
        send_by_ns = repeat_rule.send_by_ns(call.call_class, call.possible_run)
        # It is abandoned when the caller's patience ends.
        self.actions.append(it.SetUp(call.id, route.exchange, send_by_ns=send_by_ns))

    def refuse_call(self, call: Call, reason: it.RefusalReason) -> None:
        """Refuses the call, with the advice when to redial if that may be given.

        A redial can only be established late. It is asked to come as late as it may, which leaves room for
        new calls. After a signalling fault at a processor that is not overloaded no room has to be made, and
        it may come as soon as the release is over.
        """
        direct_route, longest_ns = (
            self.routes_by_number.get(call.event.destination),
            self.settings.max_redial_after_ns,
        )
        may_come_soon = (
            call.had_signalling_fault and direct_route is not None and not self.is_overloaded(direct_route)
        )
        redial_after_ns = min(self.settings.release_guard_ns, longest_ns) if may_come_soon else longest_ns
        gives_advice = self.settings.may_advise_redial and not call.event.transit
        self.close_call(call.id, it.Refuse(call.id, redial_after_ns if gives_advice else 0, reason))

    def close_call(self, call_id: str, *answer: it.Action) -> None:
        """Forgets the call, after the final answer to it if one is given; unknown calls are ignored."""
        self.actions.extend(answer)
        self.queued_calls.pop(call_id, None)
        call = self.calls.pop(call_id, None)
        if call is not None and call.current_route is not None:
            call.current_route.processor.pending.remove(call_id)

    def on_call_established(self, event: it.CallEstablished, now_ns: int) -> None:
        """Learns from an answered set-up: throughput, delay, or the weight of the tandem."""
        call = self.calls.get(event.call)
        if call is None or call.current_route is None or call.current_route.exchange != event.exchange:
            return
        route, direct_route = (
            call.current_route,
            self.routes_by_number.get(call.event.destination, call.current_route),
        )
        if route is direct_route:  # the set-ups that it has overtaken are lost, not slow
            self.overtaken_calls.update(
                (lost, now_ns) for lost in route.processor.pending.remove_with_overtaken(call.id)
            )
        self.close_call(call.id)
        route.processor.established.add(now_ns)
        self.local_processor.established.add(now_ns)
        if route is direct_route and now_ns - event.delay_ns > self.stalled_at_ns:
            self.min_delay_ns = min(self.min_delay_ns, event.delay_ns)
            route.processor.record_delay(event.delay_ns, now_ns)
        elif route is not direct_route:
            self.update_tandem_weight(direct_route, route, now_ns, succeeded=True)
        route.processor.record_response(now_ns)

    def update_tandem_weight(
        self, direct_route: ExchangeRoute, tandem: ExchangeRoute, now_ns: int, succeeded: bool
    ) -> None:
        """Adjusts the weight of a tandem towards a destination; bars one that returned the call."""
        weight = direct_route.tandem_weights.get(tandem.number, UNTRIED_TANDEM_WEIGHT)
        self.crankback_share += (float(not succeeded) - self.crankback_share) * CRANKBACK_SMOOTHING
        if succeeded:
            direct_route.tandem_weights[tandem.number] = weight + (1.0 - weight) * TANDEM_WEIGHT_GAIN
        else:
            weight = direct_route.tandem_weights[tandem.number] = max(
                MIN_TANDEM_WEIGHT, weight * TANDEM_WEIGHT_LOSS
            )
            direct_route.tandem_barred_until_ns[tandem.number] = now_ns + int(CRANKBACK_BAR_NS / weight)

    def on_attempt_ended(self, event: it.AttemptEnded, now_ns: int) -> None:
        """Learns from an attempt that ended without an answered call, and decides on the call again."""
        self.record_report(event.exchange, event.report, now_ns)
        call = self.calls.get(event.call)
        if call is None or call.current_route is None or event.attempt != call.attempts - 1:
            return
        route, call.current_route = call.current_route, None
        self.overtaken_calls.pop(call.id, None)
        route.processor.pending.remove(call.id)
        self.learn_from_ending(call, route, event, now_ns)
        call.record_ending(route, event.ending)
        if event.call_over:
            self.close_call(call.id)
        elif event.ending is it.Ending.COMPLETED or event.cause is it.FailureCause.LINES_BUSY:
            # NUMBER_BUSY with another cause is a signalling fault, after which the call is tried again.
            self.close_call(call.id, it.Fail(call.id, it.FailureReason.NUMBER_BUSY))
        elif now_ns >= call.patience_ends_at_ns:
            self.close_call(call.id, it.Fail(call.id, it.FailureReason.PATIENCE_OVER))
        else:
            if event.ending in (it.Ending.NO_ANSWER, it.Ending.INTERRUPTED, it.Ending.CANCELLED):
                # After an attempt without a definite result its circuits may still be occupied until the
                # release guard time is over; no new attempt starts before.
                call.earliest_attempt_at_ns = now_ns + self.settings.release_guard_ns
            self.decide_call(call, now_ns)

    def learn_from_ending(
        self, call: Call, route: ExchangeRoute, event: it.AttemptEnded, now_ns: int
    ) -> None:
        """Learns about processors, circuits, tandems and the number called from how an attempt ended."""
        direct_route, processor = self.routes_by_number.get(call.event.destination, route), route.processor
        if event.ending in (it.Ending.NO_ANSWER, it.Ending.NO_CONNECTION):
            processor.unanswered += 1
            is_unresponsive = (
                processor.unanswered > 1
                and processor.responded_at_ns < now_ns - processor.base_validity_ns // 2
            )
            if is_unresponsive or event.ending is it.Ending.NO_CONNECTION:
                processor.mark_silent(now_ns, self.random_spread())
        elif event.ending is it.Ending.NOT_SENT and event.cause is it.FailureCause.PROCESSOR_FULL:
            call.earliest_attempt_at_ns = now_ns + TRIAL_INTERVAL_NS  # the local processor is down
        elif event.ending is it.Ending.NOT_SENT and event.cause is it.FailureCause.NO_CIRCUIT:
            # A set-up that came too late, or met an exchange that drains, is not sent either; then the cause
            # is another one, and the group has not changed.
            route.circuits_free = 0
        elif event.ending is it.Ending.NUMBER_BUSY:
            processor.record_response(now_ns)
            if event.cause is it.FailureCause.LINES_BUSY:
                self.gapped_numbers.block(call.event.number_called, now_ns, self.random_spread())
            else:
                call.had_signalling_fault = True
                if route is not direct_route:
                    self.update_tandem_weight(direct_route, route, now_ns, succeeded=False)
        elif event.ending is it.Ending.REJECTED:
            processor.record_response(now_ns)
            if event.cause in (it.FailureCause.PROCESSOR_FULL, it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL):
                full_processor = (
                    processor if event.cause is it.FailureCause.PROCESSOR_FULL else direct_route.processor
                )
                # Its waiting time exceeds any target: no set-up is sent until it has worked off its queue.
                full_processor.reported_load, full_processor.load_reported_at_ns = BLOCKING_LOAD, now_ns
                self.watched_routes.update({route.exchange: route, direct_route.exchange: direct_route})
            if route is not direct_route:
                self.update_tandem_weight(direct_route, route, now_ns, succeeded=False)

    def cancel_lost_attempts(self, now_ns: int) -> None:
        """Cancels attempts that later set-ups have overtaken, so that these calls are sent again in time.

        A processor without overload serves set-ups in their order, so that an overtaken one is lost; this
        helps against a processor that leaves a part of them unanswered. An overloaded one keeps no order,
        and can't bear the work twice.
        """
        for call_id, overtaken_at_ns in list(self.overtaken_calls.items()):
            call = self.calls.get(call_id)
            if (
                call is None
                or call.current_route is None
                or call.current_route.number != call.event.destination
            ):
                del self.overtaken_calls[call_id]  # the queue of the exchange behind a tandem is another one
            elif not self.is_overloaded(call.current_route) and self.is_lost(
                call.current_route.processor, now_ns - overtaken_at_ns, now_ns
            ):
                del self.overtaken_calls[call_id]
                retry_at_ns = now_ns + self.settings.release_guard_ns
                can_retry = (
                    retry_at_ns + int(max(0.0, call.current_route.processor.delay_ns))
                    < call.patience_ends_at_ns
                ) and self.may_set_up_after_cancel(call, call.current_route, retry_at_ns)
                if can_retry and self.settings.may_cancel and call.attempts < self.settings.attempt_limit:
                    self.actions.append(it.CancelAttempt(call.id, call.attempts - 1))

    def may_set_up_after_cancel(self, call: Call, route: ExchangeRoute, retry_at_ns: int) -> bool:
        """Whether the call may be sent again on that route although its cancelled attempt may have run."""
        run = call.possible_run or repeat_rule.PossibleRun(route.zone, route.number, call.sent_at_ns)
        return repeat_rule.may_set_up(call.call_class, run, route.zone, route.number, retry_at_ns)

    def is_lost(self, processor: Processor, overtaken_for_ns: int, now_ns: int) -> bool:
        """Whether a set-up that was overtaken that long ago will get no response any more."""
        return (
            overtaken_for_ns > max(LOST_AFTER_NS, processor.delay_ns)
            and processor.established.count(now_ns, overtaken_for_ns) >= LOST_AFTER_SET_UPS
        )

    def random_spread(self) -> float:
        """A random factor around 1 for intervals, so that the controllers do not act in step."""
        return 0.75 + 0.5 * self.random.random()

    def run_tick(self, now_ns: int) -> None:
        """At most once per tick: updates the states, then tries the queued calls again, worthiest first."""
        if now_ns < self.next_tick_at_ns:
            return
        self.next_tick_at_ns = now_ns + TICK_NS
        self.actions.append(it.SetTimer(TICK_NS, 0))
        if self.settings.list_on_request and now_ns >= self.list_request_at_ns:
            self.list_request_at_ns = now_ns + self.settings.list_age_limit_ns // 2
            self.actions.append(it.FollowList())
        self.update_states(now_ns)
        self.cancel_lost_attempts(now_ns)
        for call in sorted(
            self.queued_calls.values(), key=lambda queued: (-queued.worth, queued.queueing_ends_at_ns)
        ):
            del self.queued_calls[call.id]
            self.decide_call(call, now_ns)
        # A probe of the local exchange reports the load of the local processor.
        self.send_probe_if_due(
            self.routes_by_number.get(self.settings.own_number), PROBE_INTERVAL_NS // 2, now_ns
        )
