"""Segmented, checksummed write-ahead log of the messages that are not over."""

from rushhitch.journal.format import FolderInUseError, JournalEntry, JournalError
from rushhitch.journal.store import Journal, Sync

__all__ = ["FolderInUseError", "Journal", "JournalError", "JournalEntry", "Sync"]
