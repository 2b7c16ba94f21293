"""Writes claims of the ownership, and reads what a new owner has to know."""

import asyncio

from foxtaillock.batch import follower
from foxtaillock.batch import interfaces
from foxtaillock.batch import lease_times
from foxtaillock.batch import ownership
from foxtaillock.batch import records
from foxtaillock.batch import services as batch_services

__all__ = ["ClaimWriter"]

# Time allowed for a claim's record to be read back from the journal.
_CLAIM_READ_TIMEOUT_S = 2.0


class ClaimWriter:
    """Writes the claims of one entry VM.

    Args:
        name: name of the VM.
        incarnation: identifies this start of the process.
        services: dependencies of the VM.
        monitor: follows who owns.
        journal_follower: reads the journal.
        submission_follower: reads the submissions.
        operator_follower: reads the operators' stream.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        services: batch_services.OwnerServices,
        monitor: ownership.OwnerMonitor,
        journal_follower: follower.Follower,
        submission_follower: follower.Follower,
        operator_follower: follower.Follower,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._services = services
        self._ownership = monitor
        self._journal_follower = journal_follower
        self._submission_follower = submission_follower
        self._operator_follower = operator_follower

    async def claim(self, epoch: int) -> records.OwnerRecord | None:
        """Writes a claim; returns it if it won, otherwise None."""
        services = self._services
        now_s = services.clock.monotonic_s()
        ends = self._ownership.lease_ends()
        claim = records.OwnerRecord(
            epoch,
            self._name,
            self._incarnation,
            capacity=self._ownership.capacity,
            earlier_leases_ms=lease_times.remaining_ms(ends.confirmed_s, now_s),
            earlier_unconfirmed_ms=lease_times.remaining_ms(
                ends.latest_s, now_s
            ),
            long_leases=self._ownership.long_leases(
                services.clock.monotonic_s()
            ),
        )
        try:
            result = await services.journal.append(
                [records.encode(claim)], interfaces.AppendId(epoch, 0)
            )
        except interfaces.StoreError as error:
            services.log("claim-failed", epoch=epoch, error=str(error))
            self._ownership.claim_failed(services.clock.monotonic_s())
            return None
        if result.outcome is not interfaces.AppendOutcome.STORED:
            services.log(
                "claim-lost", epoch=epoch, outcome=result.outcome.value
            )
            return None
        is_read = await self._read_back(result.next_offset)
        holder = self._ownership.owner
        is_won = (
            is_read
            and self._ownership.is_mine()
            and holder is not None
            and holder.epoch == epoch
        )
        if not is_won:
            services.log("claim-lost", epoch=epoch, outcome="read back")
            return None
        is_read, _ = await asyncio.gather(
            self._read_submissions(), self._read_operators()
        )
        if not is_read:
            self._ownership.claim_failed(services.clock.monotonic_s())
            return None
        return claim

    async def _read_back(self, offset: int) -> bool:
        """Reads the journal up to an offset; returns whether that succeeded."""
        try:
            await self._journal_follower.catch_up()
        except interfaces.StoreError as error:
            self._services.log("claim-not-read", error=str(error))
        return await self._journal_follower.wait_for_offset(
            offset, _CLAIM_READ_TIMEOUT_S
        )

    async def _read_submissions(self) -> bool:
        """Reads all submissions that earlier owners may have known.

        An owner that lacks a job whose tasks run would take their runs for
        unexpected ones, and their room for free. Earlier owners can write no
        more once the claim is stored, so what is read from then on is enough.
        """
        try:
            await self._submission_follower.catch_up()
        except interfaces.StoreError as error:
            self._services.log(
                "claim-lost", outcome="submissions unread", error=str(error)
            )
            return False
        return True

    async def _read_operators(self) -> None:
        """Reads what operators have requested up to now.

        A VM that was suspended may have missed the evacuation of a zone. One
        that can't read the stream uses what it knows.
        """
        try:
            await self._operator_follower.catch_up()
        except interfaces.StoreError as error:
            self._services.log("operators-unread", error=str(error))
