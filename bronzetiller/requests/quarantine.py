"""Tell requests that end the targets they run on from requests that were merely there.

Each request is known by its workspace and the digest of its body. The first death of a target
makes every request on it a suspect. Suspects run one at a time until they have proved themselves
by a first part of an answer, so that a second death mostly has one suspect, which is quarantined.
Where it has several, each gets one more run. Nothing here reads a clock; times are seconds of one
monotonic clock.
"""

from collections import OrderedDict, deque
from collections.abc import Callable

from attrs import define, field, frozen

DEATHS_ALONE_MAX = 2
DEATHS_MAX = 3
SAME_DEATH_SECONDS = 5.0
PROVEN_SECONDS = 120.0
PROVEN_MAX = 10_000
SUSPECTS_MAX = 10_000


@frozen
class RequestMark:
    """Identify what a request asks, whoever sends it again."""

    workspace: str
    fingerprint: str


@frozen
class Death:
    """Name a target that died with a request outstanding and when that was noted."""

    target_id: str
    noted_at: float

    def is_same(self, target_id: str, now: float) -> bool:
        """Say whether a death noted at another time is this one."""
        return self.target_id == target_id and abs(now - self.noted_at) < SAME_DEATH_SECONDS


@define(eq=False)
class Passage:
    """Hold the turn of one run of a request."""

    mark: RequestMark
    go: Callable[[], None]


@define
class Quarantine:
    """Hold the deaths of targets by request, and the requests that have proved nothing yet."""

    expiry_seconds: float
    deaths: OrderedDict[RequestMark, list[Death]] = field(factory=OrderedDict)
    _proven_at: OrderedDict[RequestMark, float] = field(factory=OrderedDict)
    _unproven: dict[RequestMark, Passage] = field(factory=dict)
    _waiting: deque[Passage] = field(factory=deque)

    def note_death(self, mark: RequestMark, target_id: str, now: float) -> bool:
        """Count a death, unless it is one that was counted; say whether it is new."""
        known = [death for death in self.deaths.pop(mark, []) if not self._is_over(death, now)]
        same = any(death.is_same(target_id, now) for death in known)
        if not same:
            known.append(Death(target_id, now))
        self.deaths[mark] = known
        self._proven_at.pop(mark, None)
        while len(self.deaths) > SUSPECTS_MAX:
            self.deaths.popitem(last=False)
        return not same

    def count_deaths(self, mark: RequestMark, now: float) -> int:
        """Return the deaths that count against a request."""
        known = self.deaths.get(mark, [])
        return sum(1 for death in known if not self._is_over(death, now))

    def group_deaths(self, now: float) -> dict[str, list[RequestMark]]:
        """Return the requests that each death counts against, by the target that died."""
        grouped: dict[str, list[RequestMark]] = {}
        for mark, deaths in self.deaths.items():
            for death in deaths:
                if not self._is_over(death, now):
                    grouped.setdefault(death.target_id, []).append(mark)
        return grouped

    def is_quarantined(self, mark: RequestMark, now: float) -> bool:
        """Say whether a request may not run."""
        deaths = [death for death in self.deaths.get(mark, []) if not self._is_over(death, now)]
        if len(deaths) < DEATHS_ALONE_MAX:
            return False
        return len(deaths) >= DEATHS_MAX or not self._is_shared(mark, deaths[-1])

    def is_suspect(self, mark: RequestMark, now: float) -> bool:
        """Say whether a request was on a target that died."""
        return self.count_deaths(mark, now) > 0

    def enter(self, mark: RequestMark, go: Callable[[], None]) -> Passage:
        """Queue a run until admit lets it go; every passage must be left."""
        passage = Passage(mark, go)
        self._waiting.append(passage)
        return passage

    def prove(self, passage: Passage, now: float) -> None:
        """Count the request as harmless for now, since a target has begun to answer it."""
        self._proven_at.pop(passage.mark, None)
        self._proven_at[passage.mark] = now
        while len(self._proven_at) > PROVEN_MAX:
            self._proven_at.popitem(last=False)
        self.leave(passage)

    def clear(self, mark: RequestMark) -> None:
        """Forget the deaths of a suspect that was answered whole."""
        self.deaths.pop(mark, None)

    def leave(self, passage: Passage) -> None:
        """End the turn of a run, or its wait for one."""
        if self._unproven.get(passage.mark) is passage:
            del self._unproven[passage.mark]
        if passage in self._waiting:
            self._waiting.remove(passage)

    def is_waiting(self, passage: Passage) -> bool:
        """Say whether a run has not been let go yet."""
        return passage in self._waiting

    def admit(self, now: float) -> list[Passage]:
        """Take the waiting runs that may run now out of the queue."""
        admitted: list[Passage] = []
        waiting, self._waiting = self._waiting, deque()
        for passage in waiting:
            if self._may_run(passage.mark, now):
                self._note_run(passage, now)
                admitted.append(passage)
            else:
                self._waiting.append(passage)
        return admitted

    def _note_run(self, passage: Passage, now: float) -> None:
        if not self._is_proven(passage.mark, now) and not self.is_quarantined(passage.mark, now):
            self._unproven[passage.mark] = passage

    def _may_run(self, mark: RequestMark, now: float) -> bool:
        if self.is_quarantined(mark, now) or self._is_proven(mark, now):
            return True
        if mark in self._unproven:
            return False
        if not self.is_suspect(mark, now):
            return True
        return not any(self.is_suspect(other, now) for other in self._unproven)

    def _is_proven(self, mark: RequestMark, now: float) -> bool:
        proven_at = self._proven_at.get(mark)
        return proven_at is not None and now - proven_at < PROVEN_SECONDS

    def _is_shared(self, mark: RequestMark, death: Death) -> bool:
        """Say whether another request that had been on a dead target was on this one too."""
        for other, deaths in self.deaths.items():
            if other == mark:
                continue
            for index, known in enumerate(deaths):
                if index > 0 and known.is_same(death.target_id, death.noted_at):
                    return True
        return False

    def _is_over(self, death: Death, now: float) -> bool:
        return now - death.noted_at >= self.expiry_seconds
