"""What outlasts the process: a segmented, checksummed log of the messages that are not over."""

from rushhitch.journal.format import Held, JournalEntry, JournalError
from rushhitch.journal.store import Journal, Sync

__all__ = ["Held", "Journal", "JournalError", "JournalEntry", "Sync"]
