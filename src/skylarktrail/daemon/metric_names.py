"""Names and buckets that all kinds of daemons use for their metrics."""

from __future__ import annotations

OTHER_LABEL = "other"
METRIC_PREFIX = "skylarktrail"
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
