"""Decide which streams need a record of their version, and at which version one may go on; no I/O.

What targets of two software versions write does not fit together, so a stream may go on only at the
version that began it. One version of each service, its base, is named in the store. Streams that
begin at the base need no record: a stream without one began there. All others are recorded before
their first event is delivered.

A base is provisional while streams of the time before it may be taken up. It does not tell where a
stream without a record began. Streams that begin at it are recorded, but wait for no record.

Designed for services with one version in service most of the time and two or three during a
release: without a release, no stream costs a call to the store once its base is settled.
"""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

from attrs import define, field, frozen

from bronzetiller.json_values import decode_json

# The time in which a caller may take a stream up again, counted from its last attempt: the longest
# timeout of a route, and the caller's wait before it retries.
TAKE_UP_SECONDS = 30.0


@frozen
class BaseVersion:
    """Name the base version of a service.

    number rises with each change; era is the store's when the record was written, since records of
    streams of an earlier era may be lost. A base that is not settled is provisional.
    """

    service: str
    version: str
    number: int
    era: int
    settled: bool = True

    def encode(self) -> bytes:
        """Encode the record of the service."""
        fields = {"version": self.version, "number": self.number, "era": self.era}
        return json.dumps(fields | {"settled": self.settled}).encode()


def decode_base_version(service: str, value: bytes) -> BaseVersion | None:
    """Decode the record of a service; return None if it is malformed."""
    try:
        item: Any = decode_json(value)
        settled = bool(item.get("settled", True))  # older nodes write none
        return BaseVersion(
            service, str(item["version"]), int(item["number"]), int(item["era"]), settled
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def find_service(version: str) -> str:
    """Return the service of a version."""
    return version.rpartition("/")[0]


@define(eq=False)
class StreamVersions:
    """Hold the base version of each service and when each version was last in service.

    Times are monotonic seconds of this node; it has observed the services since observed_from.
    """

    era: int = 0
    observed_from: float | None = None
    _bases: dict[str, BaseVersion] = field(factory=dict)
    _last_seen: dict[str, float] = field(factory=dict)
    _current: set[str] = field(factory=set)
    _era_since: float = 0.0

    def observe(self, versions: Iterable[str], now: float) -> None:
        """Record the versions that are in service now."""
        if self.observed_from is None:
            self.observed_from = now
        self._current = set(versions)
        self._last_seen = {
            version: at for version, at in self._last_seen.items() if now - at < TAKE_UP_SECONDS
        } | dict.fromkeys(self._current, now)

    def set_era(self, era: int, now: float) -> None:
        """Record the era of the store."""
        if era != self.era:
            self.era, self._era_since = era, now

    def apply(self, record: BaseVersion) -> None:
        """Apply a record, unless a newer one is known."""
        known = self._bases.get(record.service)
        if known is None or (record.number, record.era) > (known.number, known.era):
            self._bases[record.service] = record

    def find_base(self, service: str) -> str | None:
        """Return the version whose streams wait for no record, or None."""
        base = self._bases.get(service)
        return base.version if base is not None and base.era == self.era else None

    def find_settled_base(self, service: str) -> str | None:
        """Return the version at which streams without a record began, or None if it is unknown."""
        base = self._bases.get(service)
        return self.find_base(service) if base is not None and base.settled else None

    def needs_record(self, version: str) -> bool:
        """Return whether a stream that begins at a version must be recorded."""
        return self.find_settled_base(find_service(version)) != version

    def waits_for_record(self, version: str) -> bool:
        """Return whether a stream that begins at a version must be recorded before its events."""
        return self.find_base(find_service(version)) != version

    def may_be_recorded(self, service: str, now: float) -> bool:
        """Return whether streams of the service may have begun at another version than the base."""
        base = self.find_settled_base(service)
        if base is None or self.observed_from is None:
            return True
        others = {item for item in self._list_recent(service, now) if item != base}
        return bool(others) or now - self.observed_from < TAKE_UP_SECONDS

    def propose(self, service: str, now: float) -> BaseVersion | None:
        """Return the next base of a service, or None if its base holds.

        The first one is provisional unless the service has been observed for long enough. A base is
        replaced once no stream of it can be taken up any more. It is renewed, in a new era or as a
        settled one, once no stream can be taken up whose record may be lost or that began before.
        """
        if self.observed_from is None:
            return None
        recent = self._list_recent(service, now)
        present = Counter(item for item in recent if item in self._current)
        if not present:
            return None
        observed_seconds = now - self.observed_from
        is_settled = observed_seconds >= TAKE_UP_SECONDS
        base = self._bases.get(service)
        newest = max(present)
        if base is None:
            if len(recent) > 1 and not is_settled:
                return None
            return BaseVersion(service, newest, 1, self.era, is_settled)
        if base.version not in recent:
            return BaseVersion(service, newest, base.number + 1, self.era) if is_settled else None
        if base.era == self.era and base.settled:
            return None
        waited = now - max(self._era_since, self.observed_from) >= TAKE_UP_SECONDS
        alone = recent == {base.version} and is_settled
        if not (waited or alone):
            return None
        return BaseVersion(service, base.version, base.number + 1, self.era)

    def list_services(self) -> set[str]:
        """Return the services that have targets."""
        return {find_service(version) for version in self._current}

    def _list_recent(self, service: str, now: float) -> set[str]:
        return {
            version
            for version, at in self._last_seen.items()
            if now - at < TAKE_UP_SECONDS and find_service(version) == service
        }
