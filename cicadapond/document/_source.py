"""Sources of newer document revisions: the table service, or a peer."""

import abc
import asyncio
import datetime

from cicadapond.document._rows import DocumentText, pack_document, unpack_document
from cicadapond.document._store import DocumentStore
from cicadapond.kernel import Ok, Unavailable
from cicadapond.peer import Peers

TOPIC = "document"


class DocumentSource(abc.ABC):
    """Returns the newest revision that it has."""

    @abc.abstractmethod
    async def fetch(self, known_revision: int) -> Ok[DocumentText | None] | Unavailable:
        """Reads the newest revision.

        Args:
          known_revision: The revision that the caller already has.

        Returns:
          Ok with the document, Ok(None) if the source has no newer revision, or Unavailable.
        """


class StoreSource(DocumentSource):
    """Reads from the table service; reads the revision row, and the whole document if newer."""

    def __init__(self, store: DocumentStore):
        self._store = store

    async def fetch(self, known_revision):
        outcome = await self._store.revision()
        if not isinstance(outcome, Ok):
            return outcome
        if outcome.value <= known_revision:
            return Ok(None)
        return await self._store.read()


class PeerSource(DocumentSource):
    """Reads from one peer process."""

    def __init__(self, peers: Peers, member: str):
        self._peers = peers
        self._member = member

    async def fetch(self, known_revision):
        outcome = await self._peers.query(self._member, TOPIC, {"above": known_revision})
        if not isinstance(outcome, Ok):
            return outcome
        if outcome.value is None:
            return Ok(None)
        document = unpack_document(outcome.value)
        if document is None:
            return Unavailable(f"{self._member} sent a malformed document")
        return Ok(document if document.revision > known_revision else None)


def handle_peer_request(payload, latest: DocumentText) -> dict | None:
    """Returns the answer to a peer's request for a newer revision; None if there is none."""
    known_revision = payload.get("above") if isinstance(payload, dict) else None
    if not isinstance(known_revision, int) or latest.revision <= known_revision:
        return None
    return pack_document(latest)


async def fetch_with_timeout(
    source: DocumentSource, known_revision: int, timeout: datetime.timedelta
) -> Ok[DocumentText | None] | Unavailable:
    """Fetches from a source, with a timeout."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return await source.fetch(known_revision)
    except TimeoutError:
        return Unavailable(f"no answer within {timeout.total_seconds():g} s")
