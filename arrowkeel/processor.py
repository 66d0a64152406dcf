"""Overload control towards one processor: overload state with hysteresis, permitted rate and silence.

`arrowkeel.policy` holds one `Processor` for each remote exchange and one for the local processor. There is no
input, output or clock here: moments and spans are integer nanoseconds of one monotonic clock that the caller
passes. The load of a processor is one figure, relative to its overload threshold, which is 1.
"""

from __future__ import annotations

from arrowkeel.state import NS_PER_S, LeakyBucket, PendingSetUps, SlidingWindow

# The overload states, in rising order of severity.
NORMAL, OVERLOAD, BLOCKING = range(3)

# Loads at which the state changes. Overload begins at 1 by the scale of the load. It ends below half of that,
# so that the noise of a few samples does not make the state oscillate. At twice the overload threshold the
# waiting time takes up about half of the longest target of a set-up, and all calls are blocked.
ABATEMENT_LOAD, OVERLOAD_LOAD, BLOCKING_LOAD = 0.5, 1.0, 2.0

# How long a state stays valid without a new load figure, and the span over which the established set-ups are
# counted when the permitted rate is set. The default of the rate control design.
VALIDITY_NS = 2 * NS_PER_S

# Where calls are rare, a state stays valid for this many mean intervals between calls, up to the maximum.
MAX_VALIDITY_NS, VALIDITY_CALL_INTERVALS = 8 * NS_PER_S, 2

# Lower bound of the permitted rate of one controller, in set-ups per second; divided by the sharing factor.
# The default of the rate control design.
MIN_RATE_PER_S = 1.0

# Interval between changes of the permitted rate, because the effect of a reduction is not visible sooner; and
# the time during which no call may have been throttled before overload ends.
RATE_UPDATE_INTERVAL_NS, THROTTLE_FREE_NS = NS_PER_S // 2, NS_PER_S

# Factors by which one update changes the permitted rate: above the overload threshold and below it.
RATE_DECREASE, RATE_INCREASE = 0.85, 1.15

# Below the abatement load: factor by which one update raises the permitted rate of the local processor, and
# the limit of that growth as a multiple of the demand (first attempts of calls per second).
LOCAL_RATE_INCREASE, MAX_DEMAND_MULTIPLE = 2.0, 1.5

# Tolerance of the leaky bucket, in increments T of one call each: for a call of no worth, and how much more a
# call of the worthiest class gets.
BASE_TOLERANCE, WORTH_TOLERANCE = 1.0, 2.0

# Weights of the newest sample in moving averages. A few set-ups determine the delay; about twenty determine
# the share of tandem attempts that are returned.
DELAY_SMOOTHING, CRANKBACK_SMOOTHING = 0.3, 0.05

# Interval between trial calls to a silent exchange, and between probes where load is reported on probes only.
TRIAL_INTERVAL_NS = PROBE_INTERVAL_NS = NS_PER_S

# Spans over which sent set-ups, and the calls that callers ask for, are counted.
SENT_WINDOW_NS, DEMAND_WINDOW_NS = 10 * NS_PER_S, 60 * NS_PER_S


class Processor:
    """What is known of one processor, remote or local, and the calls that may be sent to it.

    It combines the overload state, the leaky bucket that enforces the permitted rate, and the counts of
    set-ups that were sent, established and asked for. Knowledge expires when nothing confirms it.
    """

    # `started_at_ns` is when the processor started, 0 if unknown; `unanswered` counts the attempts in a row
    # that got no response.
    state, is_silent, started_at_ns, unanswered = NORMAL, False, 0, 0

    # When the state expires, when a call was last throttled, when the permitted rate was last set, when the
    # last response came, when the delay was last measured, when the next trial call may go to a silent
    # processor, and when the load was last reported (0: never).
    expires_at_ns = throttled_at_ns = rate_set_at_ns = responded_at_ns = measured_at_ns = next_trial_at_ns = (
        load_reported_at_ns
    ) = 0

    # The last reported load, the smoothed set-up delay (below 0: unknown), the rate allowed to a processor
    # that has just started (0: no limit), and this controller's equal share of the rate that the processor
    # accepts.
    reported_load, delay_ns, cold_rate_per_s, fair_share_per_s = 0.0, -1.0, 0.0, 0.0

    # Factor by which one update raises the permitted rate below the abatement load.
    recovery_increase = RATE_INCREASE

    def __init__(self, sharing_factor: float, time_scale: float = 1.0) -> None:
        """Starts in the normal state.

        `sharing_factor` is by how much the allowances of one controller are divided because others send to
        the same processor; `time_scale` multiplies the intervals.
        """
        # The minimum rate is divided: one set-up per second from each of sixty controllers is too much.
        self.sharing_factor, self.min_rate_per_s = sharing_factor, MIN_RATE_PER_S / sharing_factor
        self.time_scale, self.base_validity_ns = time_scale, int(VALIDITY_NS * time_scale)
        self.permitted_rate_per_s, self.bucket, self.pending = (
            self.min_rate_per_s,
            LeakyBucket(),
            PendingSetUps(),
        )
        self.established, self.sent = SlidingWindow(SENT_WINDOW_NS), SlidingWindow(SENT_WINDOW_NS)
        self.demand = SlidingWindow(DEMAND_WINDOW_NS)

    def validity_ns(self, now_ns: int) -> int:
        """How long knowledge of the processor stays valid: longer where calls are rare.

        Otherwise it would expire before the next call is decided. The calls that callers ask for count as
        well as those that were sent: a rate limit that lets few calls pass must not prolong itself.
        """
        calls_per_s = max(self.sent.rate_per_s(now_ns), self.demand.rate_per_s(now_ns)) or 1
        return int(
            min(
                MAX_VALIDITY_NS * self.time_scale,
                max(self.base_validity_ns, VALIDITY_CALL_INTERVALS * NS_PER_S / calls_per_s),
            )
        )

    def established_rate_per_s(self, now_ns: int) -> float:
        """Set-ups established per second within the validity time, at least the minimum rate."""
        span_ns = self.validity_ns(now_ns)
        return max(self.min_rate_per_s, self.established.count(now_ns, span_ns) * NS_PER_S / span_ns)

    def apply_load(self, load: float, now_ns: int, bucket_fill: float) -> None:
        """Updates the overload state and the permitted rate with a new load figure.

        `bucket_fill` (0 to 1) is the part of one increment with which the bucket starts when overload
        begins. It is random, so that of many controllers that notice the overload together not all send a
        call at once.
        """
        if self.state == NORMAL and load >= OVERLOAD_LOAD:
            self.state = OVERLOAD
            self.permitted_rate_per_s, self.rate_set_at_ns = self.established_rate_per_s(now_ns), now_ns
            self.bucket.set_level(bucket_fill / self.permitted_rate_per_s, now_ns)
        elif (
            self.state == OVERLOAD
            and load < ABATEMENT_LOAD
            and now_ns - self.throttled_at_ns > THROTTLE_FREE_NS * self.time_scale
        ):
            # Not while calls are still throttled: admitted all at once they would make the load oscillate.
            self.state = NORMAL
        elif self.state == BLOCKING and load < OVERLOAD_LOAD:
            self.state = OVERLOAD
        if self.state == OVERLOAD and load >= BLOCKING_LOAD:
            self.state = BLOCKING
        if self.state != NORMAL:
            self.expires_at_ns = now_ns + self.validity_ns(now_ns)
        if (
            self.state == OVERLOAD
            and now_ns - self.rate_set_at_ns >= RATE_UPDATE_INTERVAL_NS * self.time_scale
        ):
            self.rate_set_at_ns = now_ns
            reduced_per_s = max(
                self.min_rate_per_s,
                min(self.permitted_rate_per_s, self.established_rate_per_s(now_ns)) * RATE_DECREASE,
            )
            # Below the overload threshold an equal share of the rate that the processor reports to accept is
            # safe at once; a rate that grows from one set-up per second lags seconds behind a processor that
            # has recovered. The drawback: an outdated report counts until the next one comes.
            recovered_per_s = (
                min(
                    self.permitted_rate_per_s * self.recovery_increase,
                    MAX_DEMAND_MULTIPLE * self.demand.rate_per_s(now_ns),
                )
                if load < ABATEMENT_LOAD
                else 0.0
            )
            self.permitted_rate_per_s = (
                reduced_per_s
                if load >= OVERLOAD_LOAD
                else max(self.permitted_rate_per_s * RATE_INCREASE, self.fair_share_per_s, recovered_per_s)
            )

    def expire_state(self, now_ns: int) -> None:
        """Lowers the state by one step if nothing has confirmed it in time.

        Overload becomes normal. Blocking becomes overload first, so that the queued calls do not all leave
        at once.
        """
        if self.state == BLOCKING and now_ns >= self.expires_at_ns:
            self.state, self.expires_at_ns = OVERLOAD, now_ns + self.base_validity_ns
        elif self.state == OVERLOAD and now_ns >= max(
            self.expires_at_ns, self.throttled_at_ns + THROTTLE_FREE_NS * self.time_scale
        ):
            self.state = NORMAL

    def record_delay(self, delay_ns: int, now_ns: int) -> None:
        """Adds the delay of an established set-up to the average; replaces an average that is outdated."""
        is_outdated = self.delay_ns < 0 or now_ns - self.responded_at_ns > self.validity_ns(now_ns)
        self.measured_at_ns = now_ns
        self.delay_ns = (
            float(delay_ns) if is_outdated else self.delay_ns + (delay_ns - self.delay_ns) * DELAY_SMOOTHING
        )

    def excess_delay_ns(self, now_ns: int, min_delay_ns: float) -> float:
        """By how much the set-up delay exceeds the delay without load, at least 0.

        The age of the oldest pending set-up counts as a delay too: a missing response is a delay that grows.
        """
        # Where the processor reports its load, one pending set-up may be a lost message and is left out.
        oldest_at_ns = self.pending.oldest_sent_at_ns(now_ns, 1 if self.load_reported_at_ns else 0)
        # Only an established set-up measures the delay. Answered probes and rejections must not keep an old
        # measurement valid: in the blocking state nothing is sent that could replace it, so that it would
        # hold for ever. The drawback: a delay that persists is tested with new calls each time the state
        # expires.
        known_ns = self.delay_ns if now_ns - self.measured_at_ns <= self.base_validity_ns else 0.0
        return max(0.0, max(known_ns, float(now_ns - oldest_at_ns)) - min_delay_ns)

    def rate_limit_per_s(self) -> float:
        """Set-ups per second that may pass, 0 for no limit.

        The permitted rate in the overload state, the cold rate while the processor has just started, and the
        lower of the two where both apply.
        """
        overload_per_s = self.permitted_rate_per_s if self.state == OVERLOAD else 0.0
        return (
            min(overload_per_s, self.cold_rate_per_s)
            if overload_per_s and self.cold_rate_per_s
            else overload_per_s or self.cold_rate_per_s
        )

    def next_admission_at_ns(self, now_ns: int, tolerance: float) -> int:
        """When the next call may pass, as far as is known now; a new load figure may end blocking sooner.

        `tolerance` is that of the leaky bucket, in increments of one call.
        """
        if self.is_silent:  # a few trial calls, one at a time, never those of all controllers together
            return self.next_trial_at_ns
        limit_per_s, tolerance = (
            self.rate_limit_per_s(),
            (min(tolerance, BASE_TOLERANCE) if self.cold_rate_per_s else tolerance) / self.sharing_factor,
        )
        drained_at_ns = (
            now_ns + int(NS_PER_S * max(0.0, self.bucket.level(now_ns) - tolerance / limit_per_s))
            if limit_per_s
            else now_ns
        )
        return max(drained_at_ns, self.expires_at_ns) if self.state == BLOCKING else drained_at_ns

    def admits(self, now_ns: int, tolerance: float) -> bool:
        """Whether a call may pass now; if not, the call counts as throttled."""
        if self.next_admission_at_ns(now_ns, tolerance) <= now_ns:
            return self.is_silent or self.state != BLOCKING
        self.throttled_at_ns = self.throttled_at_ns if self.is_silent else now_ns
        return False

    def record_sent(self, now_ns: int) -> None:
        """Counts a set-up that is sent now, also in the leaky bucket where the rate is limited."""
        self.sent.add(now_ns)
        if limit_per_s := self.rate_limit_per_s():
            self.bucket.add(1.0 / limit_per_s, now_ns)

    def record_response(self, now_ns: int) -> None:
        """Notes that a response came; a silent processor is used again, from the minimum rate upwards."""
        self.responded_at_ns, self.unanswered = now_ns, 0
        if self.is_silent:
            self.is_silent, self.permitted_rate_per_s, self.rate_set_at_ns = (
                False,
                self.min_rate_per_s,
                now_ns,
            )
            self.state, self.expires_at_ns = OVERLOAD, now_ns + self.base_validity_ns
            self.pending.reset_ages(now_ns)  # what was pending before is lost, not slow

    def reset_after_restart(self, started_at_ns: int, now_ns: int) -> None:
        """Discards what is known, because the processor has just started.

        It describes the predecessor, whose silence or blocking state would otherwise outlive the restart.
        The cold rate protects the new processor. The drawback: if it is listed as started but down, a few
        calls are lost.
        """
        self.started_at_ns, self.state, self.is_silent, self.unanswered = started_at_ns, NORMAL, False, 0
        self.delay_ns, self.load_reported_at_ns, self.responded_at_ns, self.fair_share_per_s = (
            -1.0,
            0,
            now_ns,
            0.0,
        )
        self.pending.reset_ages(now_ns)

    def mark_silent(self, now_ns: int, spread: float) -> None:
        """Marks the processor as silent and postpones the next trial call.

        The interval is longer the more controllers share the processor; `spread` multiplies it at random.
        """
        self.is_silent, self.next_trial_at_ns = (
            True,
            now_ns + int(TRIAL_INTERVAL_NS * self.time_scale * self.sharing_factor * spread),
        )
