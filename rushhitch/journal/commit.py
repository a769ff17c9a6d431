"""Group commit: one sync completes all commits that arrived since the previous one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from rushhitch.journal.store import Journal, Sync

log = logging.getLogger(__name__)

RETRY_S = 0.05  # between attempts of a sync while no descriptor is free

Callback = Callable[[], None]


class Committer:
    """Flushes a journal and calls back once the records are as durable as its `sync` promises."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.waiting: list[tuple[Callback, Callback]] = []
        self.syncing: asyncio.Task[None] | None = None
        self.pool = ThreadPoolExecutor(1, "journal-sync") if journal.sync is Sync.BATCH else None

    def write(self) -> bool:
        """Write pending records at once, without a sync. Returns False if the disk does not take all of
        them; the rest stays pending."""
        try:
            self.journal.flush(sync=False)
        except OSError as error:
            log.error("the journal cannot be written: %s", error)
            return False
        return True

    def commit(self, done: Callback, failed: Callback) -> None:
        """Flush, then call `done` or `failed`: at once, or with `Sync.BATCH` after the sync of the group."""
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
        """Sync group after group while commits wait."""
        loop = asyncio.get_running_loop()
        while self.waiting:
            try:
                group = self.journal.sync_group()
            except OSError as error:  # no descriptor is left: all callbacks wait
                log.error("the journal's sync will be retried: %s", error)
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
                    log.exception("a callback failed after a commit")
            self.journal.maintain()
        self.syncing = None

    async def wait_until_idle(self) -> None:
        """Return once no sync is under way."""
        while self.syncing is not None:
            await asyncio.wait([self.syncing])

    def close(self) -> None:
        if self.pool is not None:
            self.pool.shutdown(wait=True, cancel_futures=True)
