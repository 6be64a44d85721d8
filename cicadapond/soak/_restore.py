"""Restores the store from an older copy, and writes again what the operator and the servers lost.

What the gateway processes wrote is not written again here: that is theirs to do.
"""

import base64

from cicadapond.platform.standin import StoreCopy, StoredRow, StoreModel

# The tables that only the operator and the servers write.
FOREIGN_TABLES = ("op", "servers")


def go_back(store: StoreModel, copy: StoreCopy) -> list[StoredRow]:
    """Restores the store; returns the rows that the operator and the servers lost by it."""
    known = set(map(_address, copy.rows))
    written = [row for row in store.copy().rows if row.version > copy.version]
    store.restore(copy)
    # A row that was written and dropped since the copy is missing again anyway.
    lost = [row for row in written if row.value is not None or _address(row) in known]
    return sorted((row for row in lost if row.table in FOREIGN_TABLES), key=lambda row: row.version)


def write_again(store: StoreModel, copy: StoreCopy, lost: list[StoredRow]) -> None:
    """Writes lost rows again in their order, except those that were written since the restore."""
    as_copied = {_address(row): row for row in copy.rows}
    current = {_address(row): row for row in store.copy().rows}
    for row in lost:
        if current.get(_address(row)) == as_copied.get(_address(row)):
            store.put(row.table, row.key, base64.b64decode(row.value) if row.value else None)


def _address(row):
    return row.table, row.part, row.key
