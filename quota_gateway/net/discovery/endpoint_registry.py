"""Discovery's endpoint list: the names of all endpoints, and the rows and numbers of the nearest ones."""

from __future__ import annotations

from itertools import count
from typing import Any

from quota_gateway import model as api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.discovery.endpoint_row import RegistryChange
from quota_gateway.net.discovery.endpoint_table import EndpointTable
from quota_gateway.net.discovery.registry_state import RegistryState
from quota_gateway.net.discovery.snapshot_reader import SnapshotReader


class EndpointRegistry(EndpointTable):
    """Reads updates of the endpoint list, and carries the list from one process to the next.

    Only the name is held in memory for an endpoint that is not among the nearest to this gateway. Long
    documents are read by ``StreamingSnapshotReader``.
    """

    def read(self, document: Any, is_cached: bool = False) -> RegistryChange:
        """Read one update as a whole.

        Args:
            document: The update as discovery sent it, or a cached complete snapshot.
            is_cached: Whether the document is a cached snapshot, which may be outdated.

        Raises:
            DiscoveryError: The document is malformed, or no row of a complete snapshot is valid.
        """
        try:
            is_complete = is_cached or bool(document["reset"])
            rows = list(document["instances"])
            generation = int(document["generation"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise DiscoveryError(f"endpoint update is malformed: {error!r}") from error
        reader = SnapshotReader(self, is_complete)
        for row in rows:
            reader.add_row(row)
        endpoints = reader.read_rows()
        if is_complete:
            reader.replace_endpoints()
        return reader.change(_update_kind(is_complete, is_cached), endpoints, generation)

    def export_state(self) -> dict[str, Any]:
        """Return the state for a process that takes over, as a JSON object."""
        return RegistryState(list(self.rows.values()), self.numbers, self.absent, self.detached).to_json()

    def restore_state(self, document: Any) -> dict[str, Any]:
        """Restore numbers and detached endpoints from the state that the previous process exported.

        Returns:
            The endpoint list of that process. Read as a cached snapshot, it gives each endpoint its number.

        Raises:
            StateError: The document is malformed; nothing is restored.
        """
        state = RegistryState.from_json(document)
        numbers = state.all_numbers()
        self.numbers = {}
        self.absent = numbers
        self.detached = state.detached
        self._unused_numbers = count(max(numbers.values(), default=0) + 1)
        return {"generation": 0, "reset": True, "instances": state.rows}


def _update_kind(is_complete: bool, is_cached: bool) -> api.UpdateKind:
    if is_cached:
        return api.UpdateKind.CACHED
    return api.UpdateKind.SNAPSHOT if is_complete else api.UpdateKind.DELTA
