"""Publishes the state of maintenance waves to operators."""

import asyncio

from foxtaillock.batch import interfaces
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import view

__all__ = ["write_statuses"]

# Interval between checks for waves whose state has changed.
_CHECK_INTERVAL_S = 0.2


async def write_statuses(
    journal_view: view.JournalView, services: batch_services.OwnerServices
) -> None:
    """Writes each wave's state once the journal has it, until cancelled."""
    written: dict[int, bool] = {}
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        for number, progress in journal_view.waves().items():
            if written.get(number) == progress.is_complete:
                continue
            record = services.encode_wave(number, progress.is_complete)
            try:
                await services.statuses.append([record])
            except interfaces.StoreError as error:
                services.log(
                    "wave-status-not-written", wave=number, error=str(error)
                )
                continue
            written[number] = progress.is_complete
