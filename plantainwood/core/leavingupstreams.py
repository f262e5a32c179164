"""Upstreams that have said that they leave."""

ANY_ADDRESS = ""
"""In place of the address of an upstream that this node does not know."""


class LeavingUpstreams:
    """Names and addresses of upstreams that leave, kept while their entries lapse."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: set[tuple[str, str]] = set()

    def add(self, name: str, address: str) -> None:
        """Record that the upstream at an address leaves; this is never retracted."""
        self._known.add((name, address))

    def has(self, name: str, address: str) -> bool:
        """Return whether the upstream at an address has said that it leaves."""
        return (name, address) in self._known or (name, ANY_ADDRESS) in self._known
