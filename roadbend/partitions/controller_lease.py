"""Keep this controller's lease in the state store alive.

The records of the live controllers and of the partition leaders are attached to the lease of their
controller. When it expires, the state store deletes them, and other controllers may acquire the
partitions.
"""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.partitions import messages
from roadbend.partitions.records import ElectionRecords
from roadbend.store import keys
from roadbend.store.client import ConflictError, LeaseEndedError, StateStoreClient, put

# Renewals per lease duration; with more than one, a single failed renewal does not end the lease.
RENEWALS_PER_LEASE = 3
# Subtracted from the lease's validity, in addition to clock drift.
VALIDITY_MARGIN = timedelta(milliseconds=200)


class ControllerLease:
    """This controller's lease, and the record that announces the controller as live."""

    def __init__(
        self,
        controller: str,
        incarnation: str,
        ttl: timedelta,
        state: StateStoreClient,
        records: ElectionRecords,
    ) -> None:
        # The lease's id in the state store; None while there is no lease.
        self.id: int | None = None
        # Until when the lease is certainly valid; None before the first lease and after its end.
        self.valid_until: datetime | None = None
        self._renewed_at: datetime | None = None
        self._controller = controller
        self._incarnation = incarnation
        self._ttl = ttl
        self._state = state
        self._records = records

    def discard(self) -> None:
        """Drop a lease that the state store no longer knows; a new one is requested next."""
        self.id = None

    async def keep_alive(self) -> bool:
        """Request a lease, or renew it when due; return False if it has ended.

        Raises `RefusedError`, `NoAnswerError` or `UnavailableError` if the state store can't serve
        the request.
        """
        now = clock.now()
        if not self._is_renewal_due(now):
            return True
        try:
            await self._request_or_renew()
        except ConflictError:
            # Another process of this name wrote the controller record in the meantime, or our own
            # unanswered attempt took effect; that record may be attached to a lease that nobody
            # renews. The next attempt replaces it, under a lease that we renew.
            await self._records.read()
            return True
        except LeaseEndedError:
            self.id = self.valid_until = self._renewed_at = None
            return False
        # Counted from before the renewal was sent, and shortened by the clock drift.
        self._renewed_at = now
        self.valid_until = now + self._ttl * (1 - 2 * clock.DRIFT) - VALIDITY_MARGIN
        return True

    def _is_renewal_due(self, now: datetime) -> bool:
        if self.id is None or self._renewed_at is None:
            return True
        return now - self._renewed_at >= self._ttl / RENEWALS_PER_LEASE

    async def _request_or_renew(self) -> None:
        if self.id is None:
            lease_id = await self._state.grant_lease(self._ttl)
            await self._announce(lease_id)
            self.id = lease_id
            return
        await self._state.renew_lease(self.id)
        announced = self._records.view.controllers.get(self._controller)
        if announced is None or announced.incarnation != self._incarnation:
            # A late transaction of a former incarnation, or one under a lease that we discarded,
            # has replaced the record.
            await self._announce(self.id)

    async def _announce(self, lease_id: int) -> None:
        """Write the record that announces this controller as live.

        The same transaction of a former incarnation may still be in flight. The write is
        conditional on the mod revision in the record view, so that a late one can't overwrite ours.
        """
        key = keys.controller_key(self._controller)
        changes = [put(key, messages.controller_value(self._incarnation), lease_id)]
        conditions = {key: self._records.view.mod_revision(key)}
        await self._records.write(conditions, changes, within=self._ttl / 2)
