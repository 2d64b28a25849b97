"""Decides how much work a host gets after signs that it fails or does not answer.

Answers the load pattern of executors that fail, reset connections or fall silent while
their pool is busy: such a host has free room because its runs fail, and would receive
a full load each time that it is used again. It is avoided after the first signs and
then tried with a single subtask (half-open); only the success of that subtask opens it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace

# Share of the subtasks that fail for reasons of their own, and the least share that
# fails on a host that is worth avoiding.
OWN_FAILURE_SHARE = 0.03
FAULTY_FAILURE_SHARE = 0.5

# Evidence of an end that a host is faulty: the logarithm of the ratio of its
# probabilities on a faulty and on a working host. A sequential test adds them up.
FAILURE_EVIDENCE = math.log(FAULTY_FAILURE_SHARE / OWN_FAILURE_SHARE)
SUCCESS_EVIDENCE = math.log((1 - FAULTY_FAILURE_SHARE) / (1 - OWN_FAILURE_SHARE))

# Evidence from which a host gets one subtask at a time, and from which it is avoided:
# two and three failures in a row, or more with successes among them. A single failure
# has no effect.
TRIAL_EVIDENCE = 2 * FAILURE_EVIDENCE
AVOIDANCE_EVIDENCE = 3 * FAILURE_EVIDENCE

# Time for which a host is avoided after failures, and after a stalled run or a refusal
# as unhealthy; doubled with each failed trial up to the maximum. Faults of executors
# last four to five seconds, and each failed trial may make one job late: with 2 or 3 s,
# more than twice as many jobs were late in the replay of a failing third.
FAILING_MS = 4_000
SET_ASIDE_MS = 1_500
MAX_SET_ASIDE_MS = 8_000

# Time for which a host that fell silent again is avoided, doubled with each further
# silence up to the maximum. The first silence has none: the next answer permits a
# trial, and a working host loses one call.
SILENCE_MS = 250
MAX_SILENCE_MS = 4_000

# Time after which a silence no longer counts as a repetition of the previous one. It is
# longer than the outages of links that were seen, of four to five seconds.
SILENCE_MEMORY_MS = 6_000

# Time after which a trial subtask that still runs counts as a success, since a
# long-running one does not end. It is longer than most runs of large jobs, of 1.8 s.
TRIAL_MS = 3_000


@dataclass(frozen=True, slots=True)
class Health:
    """What the ends and answers of a host say about it; all times are monotonic, in ms.

    Nothing starts before `not_before_ms`. On trial, one subtask starts at a time;
    `needs_success` tells that it must succeed, while after a silence the answer to its
    start is enough. `sign_ms` is the time of the last sign.
    """

    not_before_ms: int = 0
    is_on_trial: bool = False
    needs_success: bool = False
    is_trial_running: bool = False
    sign_ms: int = 0
    evidence: float = 0.0
    avoidances: int = 0
    silences: int = 0
    silence_ms: int = 0

    @property
    def is_good(self) -> bool:
        """Whether there is no sign that the host fails at present."""
        return not self.is_on_trial and self.evidence <= 0

    def takes_gang(self, now_ms: int) -> bool:
        """Return whether several members of a gang may start at the same time.

        On trial they may not, until no other subtask has been tried for `TRIAL_MS`:
        there may be none, and the gang would wait forever.
        """
        return not self.is_on_trial or now_ms - self.not_before_ms >= TRIAL_MS

    def after_start(self, now_ms: int) -> Health:
        """Return the health after a start order was sent."""
        if not self.is_on_trial:
            return self
        if self.is_trial_running:
            # The previous trial subtask has run for `TRIAL_MS` without a sign. Other
            # members of a gang start at the same time as the first one.
            return self if now_ms < self.not_before_ms else self._passed(now_ms)
        return replace(self, is_trial_running=True, not_before_ms=now_ms + TRIAL_MS)

    def after_answered_start(self, sent_ms: int, now_ms: int) -> Health:
        """Return the health after the host accepted a start that was sent then."""
        is_trial = self.is_on_trial and not self.needs_success
        return self._passed(now_ms) if is_trial and sent_ms >= self.sign_ms else self

    def after_end(self, ordered_ms: int, now_ms: int) -> Health:
        """Return the health after a run that was ordered then is gone, for any reason.

        The end of the trial subtask permits the next trial, unless it was a sign.
        """
        if not self.is_trial_running or ordered_ms < self.sign_ms:
            return self
        return replace(self, is_trial_running=False, not_before_ms=now_ms)

    def after_success(self, started_ms: int, now_ms: int) -> Health:
        """Return the health after a run that was started then has succeeded."""
        evidence = max(self.evidence + SUCCESS_EVIDENCE, 0.0)
        health = replace(self, evidence=evidence)
        is_proof = started_ms >= self.sign_ms or evidence < TRIAL_EVIDENCE
        if self.is_on_trial and self.needs_success and is_proof:
            return health._passed(now_ms)
        return health

    def after_failure(self, started_ms: int, now_ms: int) -> Health:
        """Return the health after a run that was started then has failed.

        Failures of runs that were started before the host was avoided add nothing, so
        that the failures of one load count as one avoidance.
        """
        is_avoided = self.evidence >= AVOIDANCE_EVIDENCE
        if is_avoided and started_ms < self.sign_ms:
            return self
        evidence = min(self.evidence + FAILURE_EVIDENCE, AVOIDANCE_EVIDENCE)
        health = replace(self, evidence=evidence)
        if evidence >= AVOIDANCE_EVIDENCE:
            return health.avoided(now_ms, FAILING_MS)
        if evidence >= TRIAL_EVIDENCE:
            return replace(
                health,
                is_on_trial=True,
                needs_success=True,
                is_trial_running=False,
                sign_ms=now_ms,
            )
        return health

    def avoided(self, now_ms: int, first_ms: int = SET_ASIDE_MS) -> Health:
        """Return the health of a host that is avoided, for `first_ms` the first time.

        Signs of the time for which it is avoided do not prolong it.
        """
        if now_ms < self.not_before_ms and not self.is_trial_running:
            return self
        delay_ms = min(first_ms << min(self.avoidances, 8), MAX_SET_ASIDE_MS)
        return replace(
            self,
            not_before_ms=now_ms + delay_ms,
            is_on_trial=True,
            needs_success=True,
            is_trial_running=False,
            sign_ms=now_ms,
            evidence=AVOIDANCE_EVIDENCE,
            avoidances=self.avoidances + 1,
        )

    def after_silence(self, now_ms: int) -> Health:
        """Return the health after the first order that was not answered.

        The host is not used until it answers in any case.
        """
        is_repeated = self.silences and now_ms - self.silence_ms <= SILENCE_MEMORY_MS
        silences = self.silences + 1 if is_repeated else 1
        delay_ms = 0
        if silences > 1:
            delay_ms = min(SILENCE_MS << min(silences - 2, 8), MAX_SILENCE_MS)
        not_before_ms = 0 if self.is_trial_running else self.not_before_ms
        return replace(
            self,
            not_before_ms=max(not_before_ms, now_ms + delay_ms),
            is_on_trial=True,
            is_trial_running=False,
            sign_ms=now_ms,
            silences=silences,
            silence_ms=now_ms,
        )

    def with_trial(self, now_ms: int) -> Health:
        """Return the health with which one more subtask may be tried now.

        A trial subtask that runs already has not succeeded by this.
        """
        return replace(
            self, not_before_ms=now_ms, is_on_trial=True, is_trial_running=False
        )

    def _passed(self, now_ms: int) -> Health:
        """Return the health after a trial that succeeded.

        One failure more is enough for the next trial, until further runs succeed.
        """
        return replace(
            self,
            not_before_ms=min(self.not_before_ms, now_ms),
            is_on_trial=False,
            needs_success=False,
            is_trial_running=False,
            evidence=min(self.evidence, FAILURE_EVIDENCE),
            avoidances=0,
        )
