"""Keep this controller's lease in the state store alive.

The keys that say which controllers live, and which partitions they lead, depend on the lease of
their controller. When it ends, the state store removes them, and others may acquire the partitions.
"""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.partitions import messages
from roadbend.partitions.records import ElectionRecords
from roadbend.store import keys
from roadbend.store.client import ConflictError, LeaseEndedError, StateStoreClient, put

# The lease is renewed so many times while it would last, so that renewals may fail in between.
RENEWALS_PER_LEASE = 3
# Taken off the lease's validity, beside clock drift.
VALIDITY_MARGIN = timedelta(milliseconds=200)


class ControllerLease:
    """This controller's lease, and the record that says that the controller lives."""

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
        # Until when the lease certainly counts; None before the first one, and once it has ended.
        self.valid_until: datetime | None = None
        self._renewed_at: datetime | None = None
        self._controller = controller
        self._incarnation = incarnation
        self._ttl = ttl
        self._state = state
        self._records = records

    def discard(self) -> None:
        """Note that the state store does not know the lease any more; a new one is requested."""
        self.id = None

    async def keep_alive(self) -> bool:
        """Request the lease, or renew it when that is due; return False if it has ended.

        Raises `RefusedError`, `NoAnswerError` or `UnavailableError` if the state store does not
        answer.
        """
        now = clock.now()
        if not self._is_renewal_due(now):
            return True
        try:
            await self._request_or_renew()
        except ConflictError:
            # Another process of this name wrote the controller's record meanwhile, or our own
            # unanswered attempt was carried out; that record may depend on a lease that nobody
            # renews. It is written anew on what is there now, under a lease that we renew.
            await self._records.read()
            return True
        except LeaseEndedError:
            self.id = self.valid_until = self._renewed_at = None
            return False
        # Counted from before the renewal was sent, shortened for drift.
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
            # A late transaction of a former incarnation, or of a lease that we gave up, has
            # replaced the record.
            await self._announce(self.id)

    async def _announce(self, lease_id: int) -> None:
        """Write the record that says that this controller lives.

        A former incarnation may still have the same transaction on its way. The condition is the
        record's revision that we know, so that it can't come after ours.
        """
        key = keys.controller_key(self._controller)
        changes = [put(key, messages.controller_value(self._incarnation), lease_id)]
        conditions = {key: self._records.view.mod_revision(key)}
        await self._records.write(conditions, changes, within=self._ttl / 2)
