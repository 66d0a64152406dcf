"""Which way a call goes, whether it waits or is refused; settings, events, actions: arrowkeel/interface.py.

The ordinary path is the hysteretic rate control of docs/design.md: an aged entry per processor, direct route
first, then a weighted tandem, the last circuits kept back. Pressure is one figure, scaled so that H = 1.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from arrowkeel import interface as it
from arrowkeel.processor import (
    ASKED_SPAN_NS,
    BLOCKING,
    NORMAL,
    OWN_RAISE,
    PROBE_GAP_NS,
    RATE_SPAN_NS,
    TAU_BASE,
    TAU_WORTH,
    TRIAL_GAP_NS,
    TURNED_SMOOTHING,
    H,
    Processor,
    R,
)
from arrowkeel.state import CallState, FirstTimes, GrowingGaps, Route, S

STATES = ("normal", "overload", "blocking")
PACE_AIM_NS, PACE_LEAST = 3 * S // 2, 0.25  # the longest aim that spans are set for; the least they shrink to
CROWD = 9.0  # senders for which one call each (floor, tolerance, trial) is little; more of them share it
WAIT_AT_H = 0.2  # share of the longest aim: a wait that counts as H; two processors and a retry still fit
HOLD_BACK_AT_H, QUEUED_AT_H = 0.25, 10.0  # asked share to hold back, messages waiting, that count as H
HOT_SHARE, HOT_LEAST = 0.1, 3.0  # of the far ends heard of lately: so many pressed, and no call goes round
OWN_RANK = 12  # own excess is the least of up to seven far ends' excesses, the least eighth of more
RESERVE_SHARE, DIRECT_RESERVE = 0.1, 2.0  # of a group, from transit and alternatives; from the least worthy
WEIGHT_UP, WEIGHT_DOWN, WEIGHT_LEAST = 0.7, 0.3, 0.03  # of a tandem: success, turn-back, floor
WEIGHT_UNTRIED, CANDIDATES = 0.1, 8  # far below a proven one; a draw looks at so many untried tandems
TURN_BACK_BAR_NS, MOST_TANDEMS = S, 2  # rest after a turn-back, over the weight; tries cost two ends
ADVICE_SHARE = 1.0  # an advised tandem counts as much as this times all others looked at
LOST_NS, LOST_BEHIND = S // 20, 2  # overtaken so long ago, and by so many more since: no answer is coming
TICK_NS, STALL_NS = S // 40, S // 10  # held calls are looked at; a timer so late means that we stood still
HOLD_SHARE, SILENT_SHARE = 0.7, 0.6  # of the aim: a call may be held, the rest is for its set-up; silence
COLD_CAUTION, COLD_LEAST = 0.6, 3.0  # part of the cold budget taken; a second by all that know nothing
BUSY_GAP_NS, BUSY_GAP_MOST_NS = S, 8 * S  # gapping of a number whose lines were all busy; doubles


Far = Route[Processor]
Call = CallState[Processor]


class Policy:
    """Decisions of one call agent. `handle` is pure: no clock, no input or output, nothing shared."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        # Spans are set for calls that are to stand in seconds: with shorter aims what is waited for is
        # shorter too, and a span kept whole outlives the distress it guards against. Longer aims keep them.
        self.pace = min(1.0, max(PACE_LEAST, settings.longest_target_ns / PACE_AIM_NS))
        self.own, self.crowd = Processor(1.0, self.pace), max(1.0, settings.controllers / CROWD)
        self.own.calm_raise = OWN_RAISE
        # Sixty agents in doubt about sixty far ends probed more than callers called, at their expense. It
        # bounds what any common distress adds. Harm: that a far end has recovered is known seconds later.
        self.far_probe_gap = int(PROBE_GAP_NS * self.crowd)
        self.wait_at_h, self.floor = WAIT_AT_H * settings.longest_target_ns, float(settings.longest_target_ns)
        self.far, self.watched = dict[str, Far](), dict[str, Far]()  # watched: with news, to be judged
        self.by_number: dict[int, Far] = {}
        self.calls, self.held = dict[str, Call](), dict[str, Call]()
        self.overtaken = dict[str, int]()  # set-ups that a later one has overtaken, and when
        self.busy = GrowingGaps(BUSY_GAP_NS, BUSY_GAP_MOST_NS)
        self.asked = FirstTimes(settings.longest_deadline_ns)
        self.numbers: list[int] = []
        self.turned_back = 0.0  # share of the latest tandem attempts, whatever their destination
        self.hot, self.asks = False, settings.may_probe and settings.reporting is it.LoadReporting.ON_PROBE
        self.began_at = self.seen_at = self.came_at = self.timer_at = self.stalled_at = self.ask_at = 0
        self.out: list[it.Action] = []
        self.handlers: dict[type, Callable[[Any, int], None]] = {
            it.CallOffered: self.on_call,
            it.CallEstablished: self.on_established,
            it.AttemptEnded: self.on_ended,
            it.CallerLeft: lambda event, _: self.forget(event.call),
            it.ProbeAnswer: self.on_probe,
            it.ExchangeList: self.on_list,
        }

    def handle(self, now_ns: int, events: Sequence[it.Event]) -> Sequence[it.Action]:
        self.out = []
        self.began_at = self.began_at or now_ns
        if self.timer_at and now_ns - self.timer_at > STALL_NS:
            self.stalled_at = now_ns  # told by the own late timer from far ends that seem slow all at once
            for far in self.far.values():
                far.cpu.pending.restart(now_ns)
        for place, event in enumerate(events, 1):
            self.came_at = self.seen_at + (now_ns - self.seen_at) * place // len(events)
            if handler := self.handlers.get(type(event)):
                handler(event, now_ns)
        self.seen_at = now_ns
        self.look(now_ns)
        return self.out

    def is_skipped(self, exchange: str) -> bool:
        """Whether a listed exchange gets no calls just now, but for trials; for operators to see."""
        far = self.far.get(exchange)
        return far is None or not far.serving or far.cpu.silent or far.cpu.state == BLOCKING

    def on_list(self, event: it.ExchangeList, now: int) -> None:
        if event.kind in (it.ListKind.COMPLETE, it.ListKind.REMEMBERED):
            for far in self.far.values():
                far.serving = False  # what a complete list leaves out is gone
        for entry in event.entries:
            new = Far(entry.exchange, entry.number, Processor(self.crowd, self.pace))
            far = self.far.setdefault(entry.exchange, new)
            far.number, far.serving = entry.number, entry.status is it.ExchangeStatus.SERVING
            for cpu in (far.cpu, self.own) if far.number == self.settings.own_number else (far.cpu,):
                if entry.started_ns > cpu.started:  # its bucket starts filled at random: nobody in step
                    cpu.begin_anew(entry.started_ns, now)
                    cpu.bucket.fill(self.random.random() / (self.cold_rate(cpu, now) or S), now)
            if far.serving or entry.number not in self.by_number:
                old = self.by_number.get(entry.number)
                if old is not None and old is not far:  # a replacement takes over the group and its weights
                    far.free, far.size, far.weights = old.free, old.size, old.weights
                    far.cpu.asked = old.cpu.asked
                self.by_number[entry.number] = far
        self.far = {f.exchange: f for f in self.far.values() if f.serving or self.by_number[f.number] is f}
        self.numbers = sorted(self.by_number.keys() - {self.settings.own_number})

    def read_report(self, exchange: str, report: it.LoadReport | None, now: int) -> None:
        far = self.far.get(exchange)
        if far is None or report is None:
            return
        if report.free_circuits is not None:
            far.free, far.size = report.free_circuits, report.group_size or far.size
        if report.max_set_ups_per_s is not None:
            far.cpu.fair = report.max_set_ups_per_s / self.settings.controllers
        scales = (  # each field in its own scale
            (report.wait_ns, self.wait_at_h),
            (report.reduction_share, HOLD_BACK_AT_H),
            (report.queued_messages, QUEUED_AT_H),
        )
        if scores := [value / at_h for value, at_h in scales if value is not None]:
            cpu = self.own if far.number == self.settings.own_number else far.cpu
            cpu.told, cpu.told_at = max(scores), now
            self.watched[far.exchange] = far

    def on_probe(self, event: it.ProbeAnswer, now: int) -> None:
        self.read_report(event.exchange, event.report, now)
        far = self.far.get(event.exchange)
        if far is not None and event.delay_ns and event.ending is it.Ending.COMPLETED:
            far.cpu.hear(now)  # without a delay it is news of the own circuit group

    def own_excess(self, now: int) -> float:
        """Delay that rises towards all far ends is the own processor's; a dead end's silence is not."""
        live = (far.cpu for far in self.watched.values() if not far.cpu.silent)
        seen = [c.excess(now, self.floor) for c in live if c.pending or c.heard_at > now - c.valid_ns]
        return sorted(seen)[len(seen) // OWN_RANK] if len(seen) > 1 else 0.0

    def judge(self, now: int) -> None:
        """Renew the entries with news; silence shows as the age of what is out."""
        excess = self.own_excess(now)
        told = self.own.told if self.own.told_at > now - self.own.valid_ns else 0.0
        own = max(excess / self.wait_at_h, told)
        heard = own > 0 or any(f.cpu.pending or f.cpu.heard_at > now - S for f in self.watched.values())
        self.renew("own processor", self.own, own if heard else -1.0, now)
        lately = [f.cpu for f in self.watched.values() if f.cpu.heard_at > now - f.cpu.valid_ns]
        self.hot = sum(c.state != NORMAL for c in lately) >= max(HOT_LEAST, HOT_SHARE * len(lately))
        for far in list(self.watched.values()):
            cpu, span = far.cpu, far.cpu.validity(now)
            pressure = max(0.0, cpu.excess(now, self.floor) - excess) / self.wait_at_h
            pressure = max(pressure, cpu.told if cpu.told_at > now - span else 0.0)
            oldest = cpu.pending.oldest(now)
            quiet = now - max(oldest, cpu.heard_at) > SILENT_SHARE * self.settings.shortest_target_ns
            if quiet and not cpu.silent and len(cpu.pending) + cpu.missed > 1 and own < H:
                cpu.miss(now, self.spread())
            heard = len(cpu.pending) > 0 or pressure > 0 or cpu.heard_at > now - cpu.valid_ns
            self.renew(f"exchange {far.number}", cpu, pressure if heard else -1.0, now)
            if far.serving and (cpu.silent or cpu.state != NORMAL or now - oldest > self.wait_at_h / 2):
                self.probe(far, self.far_probe_gap, now)
            elif not heard and cpu.state == NORMAL:  # what left the list lapses too, or it comes back blocked
                del self.watched[far.exchange]

    def probe(self, far: Far | None, gap: int, now: int) -> None:
        if far is not None and far.serving and self.asks and now >= far.probe_at:
            self.out.append(it.Probe(far.exchange))
            far.probe_at = now + int(gap * self.spread())

    def renew(self, name: str, cpu: Processor, pressure: float, now: int) -> None:
        before = cpu.state
        if pressure >= 0:
            cpu.observe(pressure, now, self.random.random())
        cpu.lapse(now)
        if cpu.state != before:
            self.out.append(it.Note(f"{name} {STATES[before]} to {STATES[cpu.state]}: {pressure:.1f}"))

    def on_call(self, event: it.CallOffered, now: int) -> None:
        came, known = self.came_at, event.number_called and not event.transit
        first = self.asked.of(event.number_called, now, came) if known else came  # redials: the first aim
        kind, start = self.settings.find_class(event.class_name), came if event.was_interrupted else first
        aim_at, ends = start + kind.target_ns, now + max(0, event.patience_ns)
        dest = self.by_number.get(event.destination)
        if first == came:  # no redial
            self.own.asked.add(came)
            if dest is not None and not event.transit:
                dest.cpu.asked.add(came)
        late = now >= aim_at or (first == came and event.redial and not event.was_interrupted)
        worth = kind.worth * (kind.late_worth if late else 1.0) / self.settings.highest_worth
        hold_until = min(aim_at - int(kind.target_ns * (1 - HOLD_SHARE)), ends - 2 * TICK_NS)
        call = self.calls[event.call] = Call(
            event, aim_at, ends, now, hold_until, worth, kind.exchange_numbers
        )
        if not event.transit and self.busy.shut(event.number_called, now):
            # A busy number is gapped by itself: its exchange is not curbed.
            self.refuse(call, it.RefusalReason.NUMBER_GAPPED)
        else:
            self.decide(call, now)

    def decide(self, call: Call, now: int) -> None:
        """Send the call, hold it, or answer it finally. Only ever called with no attempt out."""
        far = self.choose(call, now)
        if far is not None:
            self.send(call, far, now)
        elif self.worth_holding(call, now):
            self.held[call.id] = call
        else:
            self.refuse(call, self.refusal_reason(call, now))

    def refusal_reason(self, call: Call, now: int) -> it.RefusalReason:
        """What stood in the way of a call that is neither sent nor held; for logs and metrics."""
        dest, tau = self.by_number.get(call.event.destination), self.tau(call)
        if dest is None or not dest.serving or dest.number == self.settings.own_number:
            return it.RefusalReason.NO_ROUTE
        if call.attempts >= self.settings.attempt_limit:
            return it.RefusalReason.ATTEMPTS_USED
        if self.own.opens_at(now, tau) > now:
            return it.RefusalReason.LOCAL_OVERLOAD
        if dest.cpu.opens_at(now, tau) > now:
            silent = dest.cpu.silent
            return it.RefusalReason.REMOTE_SILENT if silent else it.RefusalReason.REMOTE_OVERLOAD
        if not self.room(dest, call, 0.0):
            return it.RefusalReason.NO_CIRCUIT
        return it.RefusalReason.TOO_LATE

    def worth_holding(self, call: Call, now: int) -> bool:
        """Whether the call can still be sent, and stand, if it waits; else its caller is answered at once.

        Against calls that sit out their time before a shut gate, a gone exchange or a far trial, whatever the
        cause. It can do harm where a gate opens sooner than is known: that call has been refused in vain.
        """
        dest, by = self.by_number.get(call.event.destination), min(call.hold_until, call.ends)
        if call.event.transit or call.attempts >= self.settings.attempt_limit:
            return False
        if max(now, call.not_before) >= by or dest is None or dest.number == self.settings.own_number:
            return False
        if self.only_late(call, dest, now):
            return False
        gates = (self.own, dest.cpu) if self.settings.is_mesh else (self.own,)
        if any(self.shut_until(cpu, now, self.tau(call)) >= by for cpu in gates):
            return False
        turns = len(call.tried) < MOST_TANDEMS
        return (dest.serving and dest.size > 0) or (turns and (dest.serving or not self.settings.is_mesh))

    def shut_until(self, cpu: Processor, now: int, tau: float) -> int:
        """A report or the answer to a call that is out can open a blocking gate at any time."""
        news = cpu.state == BLOCKING and (self.asks or len(cpu.pending) > 0)
        return now if news and not cpu.silent else cpu.opens_at(now, tau)

    def pressed(self, dest: Far) -> bool:
        return self.own.state != NORMAL or (self.settings.is_mesh and dest.cpu.state != NORMAL)

    def only_late(self, call: Call, dest: Far, now: int) -> bool:
        """By the last delay known the call can only stand late: not worth the work of what is pressed."""
        return self.pressed(dest) and now + dest.cpu.delay > call.aim_at

    def tau(self, call: Call) -> float:
        return TAU_BASE + TAU_WORTH * call.worth

    def choose(self, call: Call, now: int) -> Far | None:
        if now < call.not_before or call.attempts >= self.settings.attempt_limit or now >= call.ends:
            return None
        event, dest = call.event, self.by_number.get(call.event.destination)
        tau, mesh = self.tau(call), self.settings.is_mesh
        if dest is None or dest.number == self.settings.own_number or not self.ready(self.own, now, tau):
            return None
        usable = dest.serving and self.ready(dest.cpu, now, tau)
        pressed = self.pressed(dest)
        if (mesh and not usable) or self.only_late(call, dest, now):
            return None  # no tandem helps a destination that is pressed; nor does what stands late anyway
        direct = min(RESERVE_SHARE * dest.size, DIRECT_RESERVE) * (1.0 - call.worth)
        if usable and self.room(dest, call, self.reserve(dest) if event.transit else direct):
            return dest
        may_turn = not (pressed or event.transit or self.hot) and len(call.tried) < MOST_TANDEMS
        return self.draw_tandem(call, dest, now) if may_turn else None

    def room(self, far: Far, call: Call, kept: float) -> bool:
        return far.free is None or far.free - call.event.circuits >= int(kept)

    def reserve(self, far: Far) -> float:
        return max(1.0, RESERVE_SHARE * far.size)

    def draw_tandem(self, call: Call, dest: Far, now: int) -> Far | None:
        pool = self.numbers if self.settings.is_mesh else call.pools
        advised, few = (
            call.event.sender_or_advised_tandem,
            self.random.random() < self.turned_back,  # the mesh is full
        )
        looked_at = [] if few else self.random.sample(pool, min(len(pool), CANDIDATES))
        options: list[tuple[Far, float]] = []
        for number in dict.fromkeys([*dest.weights, *looked_at, *([advised] if advised in pool else [])]):
            far = self.by_number.get(number)
            if far is None or not far.serving or not far.free or far.cpu.state != NORMAL or far is dest:
                continue
            rests = number in call.tried or dest.barred.get(number, 0) > now
            kept = self.reserve(far) * (2.0 - call.worth)  # a call of little worth is not worth two groups
            if not rests and self.room(far, call, kept) and self.ready(far.cpu, now, 0.0):
                weight = dest.weights.get(number, WEIGHT_UNTRIED) * (far.free - self.reserve(far) + 1.0)
                options.append((far, weight))
        extra = ADVICE_SHARE * sum(weight for _, weight in options)
        weights = [weight + extra * (far.number == advised) for far, weight in options]
        return self.random.choices(options, weights)[0][0] if options else None

    def ready(self, cpu: Processor, now: int, tau: float) -> bool:
        cpu.cold_rate = self.cold_rate(cpu, now) if cpu.started else 0.0
        return cpu.admits(now, tau)

    def cold_rate(self, cpu: Processor, now: int) -> float:
        """This agent's part of a just started processor's budget: under a call a window, a longer gap."""
        warm, age = self.settings.warm_after_ns, max(0, now - cpu.started)
        if age >= warm:
            return 0.0
        share = self.settings.cold_share + (1.0 - self.settings.cold_share) * age / warm
        agents = 1 if cpu is self.own else self.settings.controllers
        # What callers asked of it, not what is sent: in distress that is little and starves what returns,
        # whatever the distress was; nor a mean of all pairs. Harm: calls of a flood count as usual ones.
        usual = cpu.asked.count(now) * S / max(RATE_SPAN_NS, min(ASKED_SPAN_NS, now - self.began_at))
        return max(COLD_LEAST / agents, share * self.settings.cold_multiple * COLD_CAUTION * usual)

    def send(self, call: Call, far: Far, now: int) -> None:
        self.held.pop(call.id, None)
        call.out, call.attempts = far, call.attempts + 1
        if far.number != call.event.destination:
            call.tried.add(far.number)
        far.free = None if far.free is None else max(0, far.free - call.event.circuits)
        far.cpu.take(now)
        far.cpu.pending.sent[call.id] = now
        self.watched[far.exchange] = far
        if far.cpu.silent:  # the next trial does not wait for this one's caller to tire
            far.cpu.miss(now, self.spread())
        elif far.cpu.sent.count(now, far.cpu.valid_ns) > 1:
            self.probe(far, self.far_probe_gap, now)
        self.own.take(now)
        self.out.append(it.SetUp(call.id, far.exchange))  # abandoned when the caller's patience ends

    def refuse(self, call: Call, reason: it.RefusalReason) -> None:
        """A redial can only stand late: asked to come as late as it may, it leaves room for fresh calls.

        After faults of the signalling at a processor that is not pressed there is nobody to make room for.
        """
        dest, longest = self.by_number.get(call.event.destination), self.settings.max_redial_after_ns
        soon = call.faulted and dest is not None and not self.pressed(dest)
        after = min(self.settings.release_guard_ns, longest) if soon else longest
        advise = self.settings.may_advise_redial and not call.event.transit
        self.forget(call.id, it.Refuse(call.id, after if advise else 0, reason))

    def forget(self, call_id: str, *answer: it.Action) -> None:
        self.out.extend(answer)
        self.held.pop(call_id, None)
        call = self.calls.pop(call_id, None)
        if call is not None and call.out is not None:
            call.out.cpu.pending.drop(call_id)

    def on_established(self, event: it.CallEstablished, now: int) -> None:
        call = self.calls.get(event.call)
        if call is None or call.out is None or call.out.exchange != event.exchange:
            return
        far, dest = call.out, self.by_number.get(call.event.destination, call.out)
        if far is dest:  # what it has overtaken is lost, not slow
            self.overtaken.update((lost, now) for lost in far.cpu.pending.overtaken_by(call.id))
        self.forget(call.id)
        far.cpu.done.add(now)
        self.own.done.add(now)
        if far is dest and now - event.delay_ns > self.stalled_at:
            self.floor = min(self.floor, event.delay_ns)
            far.cpu.learn_delay(event.delay_ns, now)
        elif far is not dest:
            self.weigh(dest, far, now, stood=True)
        far.cpu.hear(now)

    def weigh(self, dest: Far, tandem: Far, now: int, stood: bool) -> None:
        weight = dest.weights.get(tandem.number, WEIGHT_UNTRIED)
        self.turned_back += (float(not stood) - self.turned_back) * TURNED_SMOOTHING
        if stood:
            dest.weights[tandem.number] = weight + (1.0 - weight) * WEIGHT_UP
        else:
            weight = dest.weights[tandem.number] = max(WEIGHT_LEAST, weight * WEIGHT_DOWN)
            dest.barred[tandem.number] = now + int(TURN_BACK_BAR_NS / weight)

    def on_ended(self, event: it.AttemptEnded, now: int) -> None:
        self.read_report(event.exchange, event.report, now)
        call = self.calls.get(event.call)
        if call is None or call.out is None or event.attempt != call.attempts - 1:
            return
        sent_to, call.out = call.out, None
        self.overtaken.pop(call.id, None)
        sent_to.cpu.pending.drop(call.id)
        self.learn_ending(call, sent_to, event, now)
        if event.call_over:
            self.forget(call.id)
        elif (
            event.ending is it.Ending.COMPLETED
            or event.cause is it.FailureCause.LINES_BUSY
            or now >= call.ends
        ):
            self.forget(call.id, it.Fail(call.id))  # another error is a signalling fault: it goes again
        else:
            if event.ending in (it.Ending.NO_ANSWER, it.Ending.INTERRUPTED, it.Ending.CANCELLED):
                call.not_before = now + self.settings.release_guard_ns  # rule 5: the release is awaited
            self.decide(call, now)

    def learn_ending(self, call: Call, far: Far, event: it.AttemptEnded, now: int) -> None:
        dest, cpu = self.by_number.get(call.event.destination, far), far.cpu
        if event.ending in (it.Ending.NO_ANSWER, it.Ending.NO_CONNECTION):
            cpu.missed += 1
            unheard = cpu.missed > 1 and cpu.heard_at < now - cpu.valid_ns // 2
            if unheard or event.ending is it.Ending.NO_CONNECTION:
                cpu.miss(now, self.spread())
        elif event.ending is it.Ending.NOT_SENT and event.cause is it.FailureCause.PROCESSOR_FULL:
            call.not_before = now + TRIAL_GAP_NS  # the own processor is down
        elif event.ending is it.Ending.NOT_SENT and event.cause is it.FailureCause.NO_CIRCUIT:
            far.free = 0  # not where it came too late or the exchange drains: the group has not changed
        elif event.ending is it.Ending.NUMBER_BUSY:
            cpu.hear(now)
            if event.cause is it.FailureCause.LINES_BUSY:
                self.busy.shut_again(call.event.number_called, now, self.spread())
            else:
                call.faulted = True
                if far is not dest:
                    self.weigh(dest, far, now, stood=False)
        elif event.ending is it.Ending.REJECTED:
            cpu.hear(now)
            if event.cause in (it.FailureCause.PROCESSOR_FULL, it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL):
                full = cpu if event.cause is it.FailureCause.PROCESSOR_FULL else dest.cpu
                full.told, full.told_at = R, now  # its wait is beyond any aim: no set-up until it has drained
                self.watched.update({far.exchange: far, dest.exchange: dest})
            if far is not dest:
                self.weigh(dest, far, now, stood=False)

    def call_off_lost(self, now: int) -> None:
        """A quick processor serves in turn: what later set-ups overtook is lost, and goes again in time.

        Against one that leaves a share unanswered. Pressed ones take no turns, and can't bear the work twice.
        """
        for call_id, at in list(self.overtaken.items()):
            call = self.calls.get(call_id)
            if call is None or call.out is None or call.out.number != call.event.destination:
                del self.overtaken[call_id]  # behind a tandem there is another queue
            elif not self.pressed(call.out) and self.is_lost(call.out.cpu, now - at, now):
                del self.overtaken[call_id]
                again = now + self.settings.release_guard_ns + int(max(0.0, call.out.cpu.delay)) < call.ends
                if again and self.settings.may_cancel and call.attempts < self.settings.attempt_limit:
                    self.out.append(it.CancelAttempt(call.id, call.attempts - 1))

    def is_lost(self, cpu: Processor, since: int, now: int) -> bool:
        return since > max(LOST_NS, cpu.delay) and cpu.done.count(now, since) >= LOST_BEHIND

    def spread(self) -> float:  # gaps are drawn around their middle, so that agents do not act in step
        return 0.75 + 0.5 * self.random.random()

    def look(self, now: int) -> None:
        """At most once a tick: renew the entries, then try the held calls again, worthiest first."""
        if now < self.timer_at:
            return
        self.timer_at = now + TICK_NS
        self.out.append(it.SetTimer(TICK_NS, 0))
        if self.settings.list_on_request and now >= self.ask_at:
            self.ask_at = now + self.settings.list_age_limit_ns // 2
            self.out.append(it.FollowList())
        self.judge(now)
        self.call_off_lost(now)
        for call in sorted(self.held.values(), key=lambda c: (-c.worth, c.hold_until)):
            del self.held[call.id]
            self.decide(call, now)
        self.probe(self.by_number.get(self.settings.own_number), PROBE_GAP_NS // 2, now)
