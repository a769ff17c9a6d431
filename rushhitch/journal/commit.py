"""Group commit: what waits for the disk's word is told once for all that came meanwhile."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rushhitch.journal.store import Journal, Sync

log = logging.getLogger(__name__)

RETRY_S = 0.05  # between two tries of a sync for which there was no descriptor

Callback = Callable[[], None]


class Committer:
    """Writes what a journal has noted, and tells when it is as safe as the journal's `sync` promises."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.waiting: list[tuple[Callback, Callback]] = []
        self.syncing: asyncio.Task[None] | None = None
        self.pool = ThreadPoolExecutor(1, "journal-sync") if journal.sync is Sync.BATCH else None

    def write(self) -> bool:
        """Hand what was noted to the system in this step, with no sync. False where the disk does not take
        all of it: the rest stays noted."""
        try:
            self.journal.flush(sync=False)
        except OSError as error:
            log.error("the journal cannot be written: %s", error)
            return False
        return True

    def commit(self, done: Callback, failed: Callback) -> None:
        """Flush. One of the two is called: at once, or with `batch` after the sync of the group."""
        try:
            self.journal.flush()
        except OSError as error:
            log.error("the journal cannot be written: %s", error)
            failed()
            return
        if self.pool is None:
            done()
            return
        self.waiting.append((done, failed))
        if self.syncing is None:
            self.syncing = asyncio.get_running_loop().create_task(self.sync(self.pool))

    async def sync(self, pool: ThreadPoolExecutor) -> None:
        """Sync group after group while anything waits."""
        loop = asyncio.get_running_loop()
        while self.waiting:
            try:
                group = self.journal.sync_group()
            except OSError as error:  # no descriptor is left: nobody is told anything yet
                log.error("the journal's sync waits: %s", error)
                await asyncio.sleep(RETRY_S)
                continue
            results, self.waiting = self.waiting, []
            broken = False
            if group is not None:
                try:
                    await loop.run_in_executor(pool, group.run)
                    group.done()
                except OSError as error:
                    log.error("the journal cannot be synced: %s", error)
                    self.journal.rewrite_live_entries()
                    broken = True
            for done, failed in results:
                try:
                    (failed if broken else done)()
                except Exception:
                    log.exception("not carried out after a commit")
            self.journal.maintain()
        self.syncing = None

    async def wait_until_idle(self) -> None:
        """Until nothing waits for the disk."""
        while self.syncing is not None:
            await asyncio.wait([self.syncing])

    def close(self) -> None:
        if self.pool is not None:
            self.pool.shutdown(wait=True, cancel_futures=True)
