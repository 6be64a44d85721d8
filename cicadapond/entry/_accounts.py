"""Looks up client accounts by bearer token; the document holds only the hashes of the keys."""

import hashlib
import hmac
import typing

from cicadapond.document import AccountIntent

SCHEME = "bearer"
NO_HASH = "0" * hashlib.sha256().digest_size * 2


class AccountIndex:
    """Finds the account that a bearer token belongs to.

    Args:
      accounts: The document's section `accounts`.
    """

    def __init__(self, accounts: typing.Mapping[str, AccountIntent]):
        self._accounts = accounts
        self._by_hash = {
            key_hash: (key_hash, name)
            for name, account in accounts.items()
            for key_hash in account.key_hashes
        }

    def is_built_from(self, accounts: typing.Mapping[str, AccountIntent]) -> bool:
        """Returns whether this index was built from this very object."""
        return self._accounts is accounts

    def find(self, authorization: str | None) -> str | None:
        """Returns the account of an Authorization header's value, or None.

        The token's hash is looked up, and then compared in constant time, so that timing does not
        reveal the keys.
        """
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() != SCHEME:
            return None
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        key_hash, name = self._by_hash.get(digest, (NO_HASH, None))
        return name if hmac.compare_digest(key_hash, digest) else None
