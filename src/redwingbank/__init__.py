"""Route language-model traffic with service levels and priorities."""

from __future__ import annotations
