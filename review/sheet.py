"""Settings and routes of the installation of a case, from its sheet."""

import types

_COMMON = {
    "limits.diskMb": "0",
    "discovery": "platform",
    "entry": "virtual_ip",
    "faultTolerance.machines": "2",
    "faultTolerance.zones": "1",
    "faultTolerance.regions": "0",
    "bounds.seedLagS": "3",
    "bounds.reuseAfterS": "2",
    "bounds.graceS": "6",
    "bounds.lossSlackMs": "200",
    "bounds.downgradeSlackMs": "250",
    "bounds.fencingRequired": "false",
    "bounds.thawSlackMs": "300",
    "platform.form": "kv",
    "platform.historyS": "20",
    "platform.valueBytes": "1048576",
    "platform.ttlMinMs": "1000",
    "cloud.ratePerS": "50.0",
    "cloud.duties": "failover",
    "cloud.dutyPerS": "50.0",
}

HUVUDBOK = types.SimpleNamespace(
    zones=("sthlm-a", "sthlm-b", "sthlm-c"),
    nodes=6,
    services=("huvo11a", "kafi81c", "lovo22d", "wuno96b"),
    max_connections=73,
    slots=4,
    promote_s=1.0,
    apply_s=0.150,
    primary_route={"timeoutMs": 800, "targetLatencyMs": 122},
    bounded_route={"timeoutMs": 1200, "targetLatencyMs": 302},
    settings={
        **_COMMON,
        "limits.cpuShare": "0.717",
        "limits.cores": "3",
        "limits.memoryMb": "552",
        "limits.maxFds": "8192",
        "limits.linkMbps": "100.0",
        "contracts": "base,drain,config,cost,recover,health,pool,sql,platform",
        "bounds.stableWindowMs": "5000",
        "bounds.ackMs": "8000",
        "bounds.catchUpS": "6",
        "bounds.drainMs": "10000",
        "bounds.configApplyMs": "5000",
        "bounds.maxSkewMs": "15000",
        "bounds.recoveryS": "15",
        "platform.writesPerS": "1200",
        "platform.readsPerS": "6000",
    },
)


def routes(site):
    """Returns a `primary` and a `bounded_staleness` route of each service."""
    found = []
    for name in site.services:
        common = {"prefix": "/", "service": name, "maxAttempts": 2}
        found.append(
            {
                "name": "r-p-" + name,
                "database": "prim-" + name,
                "type": "primary",
                "priority": 1,
                **site.primary_route,
                **common,
            }
        )
        found.append(
            {
                "name": "r-b-" + name,
                "database": "stale-" + name,
                "type": "bounded_staleness",
                "priority": 2,
                "maxStalenessMs": 1500,
                **site.bounded_route,
                **common,
            }
        )
    return found
