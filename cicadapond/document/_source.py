"""Where a process learns newer revisions from: the store, or a peer."""

import abc
import asyncio
import datetime

from cicadapond.document._rows import DocumentText, pack_document, unpack_document
from cicadapond.document._store import DocumentStore
from cicadapond.kernel import Ok, Unavailable
from cicadapond.peer import Peers

TOPIC = "document"


class DocumentSource(abc.ABC):
    """Gives the newest revision that it knows."""

    @abc.abstractmethod
    async def fetch(self, above: int) -> Ok[DocumentText | None] | Unavailable:
        """Reads the newest revision.

        Args:
          above: The revision that the caller has.

        Returns:
          Ok with the document, Ok(None) if it is not above `above`, or Unavailable.
        """


class StoreSource(DocumentSource):
    """The table service; reads the revision alone as long as nothing has changed."""

    def __init__(self, store: DocumentStore):
        self._store = store

    async def fetch(self, above):
        outcome = await self._store.revision()
        if not isinstance(outcome, Ok):
            return outcome
        if outcome.value <= above:
            return Ok(None)
        return await self._store.read()


class PeerSource(DocumentSource):
    """One member of the system."""

    def __init__(self, peers: Peers, member: str):
        self._peers = peers
        self._member = member

    async def fetch(self, above):
        outcome = await self._peers.ask(self._member, TOPIC, {"above": above})
        if not isinstance(outcome, Ok):
            return outcome
        if outcome.value is None:
            return Ok(None)
        document = unpack_document(outcome.value)
        if document is None:
            return Unavailable(f"{self._member} answered with what is no document")
        return Ok(document if document.revision > above else None)


def answer_peer(payload, latest: DocumentText) -> dict | None:
    """Returns the answer to a peer's question for a revision above its own."""
    above = payload.get("above") if isinstance(payload, dict) else None
    if not isinstance(above, int) or latest.revision <= above:
        return None
    return pack_document(latest)


async def fetch_within(
    source: DocumentSource, above: int, limit: datetime.timedelta
) -> Ok[DocumentText | None] | Unavailable:
    """Asks a source, for a bounded time."""
    try:
        async with asyncio.timeout(limit.total_seconds()):
            return await source.fetch(above)
    except TimeoutError:
        return Unavailable(f"no answer within {limit.total_seconds():g} s")
