"""What is known of one processor, far or own: hysteretic overload state, permitted rate, bucket and silence.

Decisions only: no input or output and no clock. `arrowkeel.policy` holds one entry for each processor. Times
are integer nanoseconds of one monotonic clock; pressure is one figure, scaled so that the threshold H is 1.
"""

from __future__ import annotations

from arrowkeel.state import NS_PER_S, LeakyBucket, PendingSetUps, SlidingWindow

NORMAL, OVERLOAD, BLOCKING = range(3)
L, H, R = 0.5, 1.0, 2.0  # H is 1 by scale; L: noise of a few samples flaps no state; R: half of the aim
VALIDITY_NS = 2 * NS_PER_S  # default of the design: lapse of a state, and the span that oc is taken over
VALIDITY_MOST_NS, VALIDITY_SAMPLES = (
    8 * NS_PER_S,
    2,
)  # where calls are rare news lasts so many gaps between them
LEAST_RATE = 1.0  # set-ups a second, the design's default floor of oc
REGRANT_NS, CURBED_NS = (
    NS_PER_S // 2,
    NS_PER_S,
)  # a cut shows no sooner; overload ends once nobody was kept back so long
CUT, RAISE = 0.85, 1.15  # steps of oc: above H, below it
OWN_RAISE, USUAL = 2.0, 1.5  # of the own one below L; up to so many times the first set-ups asked for
TAU_BASE, TAU_WORTH = 1.0, 2.0  # bucket tolerance in increments T, and what the worthiest class has beyond
SMOOTHING, TURNED_SMOOTHING = 0.3, 0.05  # of delays: a few outcomes decide; of turn-backs: some twenty
TRIAL_GAP_NS = PROBE_GAP_NS = (
    NS_PER_S  # between trial calls to a silent far end; probes, where they alone report
)
RATE_SPAN_NS, ASKED_SPAN_NS = (
    10 * NS_PER_S,
    60 * NS_PER_S,
)  # over which what is sent, and what callers ask for, is counted


class Processor:
    """The aged entry of one processor, far or own: hysteresis, bucket, what it was sent and finished."""

    state, silent, started, missed = NORMAL, False, 0, 0
    valid_until = curbed_at = granted_at = heard_at = measured_at = trial_at = told_at = 0
    told, delay, cold_rate, fair = 0.0, -1.0, 0.0, 0.0
    calm_raise = RAISE

    def __init__(self, crowd: float, pace: float = 1.0) -> None:
        self.crowd, self.least = crowd, LEAST_RATE / crowd  # one a second from each of sixty is a flood
        self.pace, self.valid_ns = pace, int(VALIDITY_NS * pace)
        self.rate, self.bucket, self.pending = self.least, LeakyBucket(), PendingSetUps()
        self.done, self.sent = SlidingWindow(RATE_SPAN_NS), SlidingWindow(RATE_SPAN_NS)
        self.asked = SlidingWindow(ASKED_SPAN_NS)

    def validity(self, now: int) -> int:
        """ListUpdate lasts longer where calls are rare: it would else lapse before the next one is decided.

        What callers ask for counts too: a gate that lets few calls pass must not keep itself shut for longer.
        """
        rate = max(self.sent.rate_per_s(now), self.asked.rate_per_s(now)) or 1
        return int(min(VALIDITY_MOST_NS * self.pace, max(self.valid_ns, VALIDITY_SAMPLES * NS_PER_S / rate)))

    def done_rate(self, now: int) -> float:
        span = self.validity(now)
        return max(self.least, self.done.count(now, span) * NS_PER_S / span)

    def observe(self, pressure: float, now: int, fill: float) -> None:
        """One step of the hysteresis. The bucket starts filled at random: of sixty not all let a call go."""
        if self.state == NORMAL and pressure >= H:
            self.state = OVERLOAD
            self.rate, self.granted_at = self.done_rate(now), now
            self.bucket.set_level(fill / self.rate, now)
        elif self.state == OVERLOAD and pressure < L and now - self.curbed_at > CURBED_NS * self.pace:
            self.state = NORMAL  # not while calls press at the gate: set free at once they would swing it
        elif self.state == BLOCKING and pressure < H:
            self.state = OVERLOAD
        if self.state == OVERLOAD and pressure >= R:
            self.state = BLOCKING
        if self.state != NORMAL:
            self.valid_until = now + self.validity(now)
        if self.state == OVERLOAD and now - self.granted_at >= REGRANT_NS * self.pace:
            self.granted_at = now
            cut = max(self.least, min(self.rate, self.done_rate(now)) * CUT)
            # Below H what it says it takes, shared evenly, is safe at once: grown from one a second a rate
            # was seconds behind a processor that had recovered. Harm: an old figure, until the next report.
            usual = (
                min(self.rate * self.calm_raise, USUAL * self.asked.rate_per_s(now)) if pressure < L else 0.0
            )
            self.rate = cut if pressure >= H else max(self.rate * RAISE, self.fair, usual)

    def lapse(self, now: int) -> None:
        """Unrenewed, overload lapses to normal; blocking first to overload, lest all held calls burst out."""
        if self.state == BLOCKING and now >= self.valid_until:
            self.state, self.valid_until = OVERLOAD, now + self.valid_ns
        elif self.state == OVERLOAD and now >= max(self.valid_until, self.curbed_at + CURBED_NS * self.pace):
            self.state = NORMAL

    def learn_delay(self, delay: int, now: int) -> None:
        stale = self.delay < 0 or now - self.heard_at > self.validity(now)
        self.measured_at = now
        self.delay = float(delay) if stale else self.delay + (delay - self.delay) * SMOOTHING

    def excess(self, now: int, floor: float) -> float:
        """Delay over its floor, or the age of the oldest set-up out: silence is a delay that grows."""
        oldest = self.pending.oldest_sent_at_ns(now, 1 if self.told_at else 0)  # load told: one may be lost
        # Only a set-up measures the delay. Probes and turn-backs must not keep an old one fresh: in blocking
        # nothing is sent, so it would hold for ever. Harm: a standing wait is tried again at each lapse.
        known = self.delay if now - self.measured_at <= self.valid_ns else 0.0
        return max(0.0, max(known, float(now - oldest)) - floor)

    def limit(self) -> float:
        """Set-ups a second that may pass, 0 for no limit: oc in overload, part of the budget while cold."""
        oc = self.rate if self.state == OVERLOAD else 0.0
        return min(oc, self.cold_rate) if oc and self.cold_rate else oc or self.cold_rate

    def opens_at(self, now: int, tau: float) -> int:
        """When the gate lets the next call pass, as far as is known; news may open blocking sooner."""
        if self.silent:  # a few trial calls, one at a time, never the whole crowd
            return self.trial_at
        limit, tau = self.limit(), (min(tau, TAU_BASE) if self.cold_rate else tau) / self.crowd
        drained = now + int(NS_PER_S * max(0.0, self.bucket.level(now) - tau / limit)) if limit else now
        return max(drained, self.valid_until) if self.state == BLOCKING else drained

    def admits(self, now: int, tau: float) -> bool:
        if self.opens_at(now, tau) <= now:
            return self.silent or self.state != BLOCKING
        self.curbed_at = self.curbed_at if self.silent else now
        return False

    def take(self, now: int) -> None:
        self.sent.add(now)
        if limit := self.limit():
            self.bucket.add(1.0 / limit, now)

    def hear(self, now: int) -> None:
        """An answer came: a silent far end is used again, from a small rate upwards."""
        self.heard_at, self.missed = now, 0
        if self.silent:
            self.silent, self.rate, self.granted_at = False, self.least, now
            self.state, self.valid_until = OVERLOAD, now + self.valid_ns
            self.pending.reset_ages(now)  # what was out before is lost, not slow

    def begin_anew(self, started: int, now: int) -> None:
        """Just started: what is known is of its forerunner, whose silence or block would outlive the restart.

        The cold budget guards the new one. Harm: listed as started yet down, a few calls are lost.
        """
        self.started, self.state, self.silent, self.missed = started, NORMAL, False, 0
        self.delay, self.told_at, self.heard_at, self.fair = -1.0, 0, now, 0.0
        self.pending.reset_ages(now)

    def miss(self, now: int, spread: float) -> None:
        """No answer: trials wait, the longer the more of us there are."""
        self.silent, self.trial_at = True, now + int(TRIAL_GAP_NS * self.pace * self.crowd * spread)
