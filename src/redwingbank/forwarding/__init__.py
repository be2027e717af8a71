"""Forwarding of requests to hosts that reach backend servers which this host does not reach."""

__all__: list[str] = []
