"""Tells operators how far the maintenance waves are."""

import asyncio

from foxtaillock.batch import interfaces
from foxtaillock.batch import services as batch_services
from foxtaillock.batch import view

__all__ = ["write_statuses"]

# Time between two looks for waves whose state operators have to be told.
_LOOK_S = 0.2


async def write_statuses(
    journal_view: view.JournalView, services: batch_services.OwnerServices
) -> None:
    """Writes the state of each wave once that is recorded, until cancelled."""
    told: dict[int, bool] = {}
    while True:
        await asyncio.sleep(_LOOK_S)
        for number, progress in journal_view.waves().items():
            if told.get(number) == progress.is_complete:
                continue
            record = services.encode_wave(number, progress.is_complete)
            try:
                await services.statuses.append([record])
            except interfaces.StoreError as error:
                services.log(
                    "wave-status-not-written", wave=number, error=str(error)
                )
                continue
            told[number] = progress.is_complete
