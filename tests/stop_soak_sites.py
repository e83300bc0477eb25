"""The deployments that tests/stop_soak.py plays, with their configuration and settings."""
import json
import re

from stop_soak_messages import HOST


def stream(name, objective_ms, deadline_ms, attempts, resume, body_bytes, events, per_s):
    return {"name": name, "kind": "stream", "method": "POST", "prefix": "/%s/" % name, "objective_ms": objective_ms,
            "deadline_ms": deadline_ms, "timeout_ms": deadline_ms, "attempts": attempts, "resume": resume,
            "bytes": body_bytes, "events": events, "per_s": per_s}


def call(name, kind, objective_ms, deadline_ms, body_bytes, per_s):
    return {"name": name, "kind": kind, "method": "GET" if kind == "safe" else "POST", "prefix": "/%s/" % name,
            "objective_ms": objective_ms, "deadline_ms": deadline_ms, "timeout_ms": deadline_ms,
            "attempts": 2 if kind == "safe" else 1, "resume": False, "bytes": body_bytes, "events": 0, "per_s": per_s}


SITES = {
    "cdsaa": {
        "region": "scot-central", "zones": {"zone-forth": 7, "zone-clyde": 7, "zone-tay": 4}, "engines": 18, "plain": 3,
        "budget_slack": 126, "max_connections": (832, 248), "grey_share": 0.14, "grey_errors": 0.45, "work_s": 0.015,
        "kinds": [stream("dossier-draft", 600, 12000, 1, False, 12000, 48, 34.3),
                  stream("adopter-chat", 400, 10000, 2, True, 830, 36, 72.6),
                  stream("enquiry-sort", 400, 2500, 1, False, 2400, 3, 58.1),
                  call("adopt-record", "unsafe", 100, 600, 600, 41.2),
                  call("donkey-lookup", "safe", 100, 600, 0, 16.5)]},
    "gge": {
        "region": "ch-mittelland", "zones": {"bern-a": 7, "bern-b": 4, "thun-c": 2}, "engines": 12, "plain": 3,
        "budget_slack": 113, "max_connections": (780, 208), "grey_share": 0.14, "grey_errors": 0.45, "work_s": 0.06,
        "kinds": [stream("restoration-report", 600, 12000, 1, False, 12000, 48, 22.9),
                  stream("bench-answer", 400, 10000, 2, True, 830, 36, 48.4),
                  stream("parcel-tag", 400, 2500, 1, False, 2400, 3, 38.7),
                  call("slot-booking", "unsafe", 300, 1500, 600, 27.5),
                  call("pan-status", "safe", 300, 1500, 0, 11.0)]},
}
SITES["small"] = {**SITES["gge"], "zones": {"bern-a": 2, "bern-b": 2}, "engines": 4, "plain": 2}


def render(text, values):
    """Fills in a template of settings as the platform does: {{a.b}}, {{a|json}} and sections."""
    def lookup(path):
        value = values
        for step in path.split("."):
            if isinstance(value, list):
                value = value[int(step)]
            else:
                value = value.get(step) if isinstance(value, dict) else None
        return value

    def placeholder(match):
        value = lookup(match.group(1))
        if match.group(2):
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda match: render(match.group(2), values) if lookup(match.group(1)) else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


ENGINE = {"slots": 64, "kv_capacity": 620182, "kv_token_bytes": 327680, "link_mbps": 1100000.0, "moves": True,
          "backups": True, "stride": 8, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
          "models": [{"name": "m"}]}


def config(site, version, keys, idle_routes):
    """The operator's configuration of a site."""
    service = {"health_check": "/health", "protocol": "h1", "tls": False}
    engines, plain = site["max_connections"]
    routes = [{"name": kind["name"], "host": HOST, "prefix": kind["prefix"], "kind": kind["kind"],
               "timeout_ms": kind["timeout_ms"], "target_latency_ms": kind["objective_ms"], "priority": index,
               "service": "models" if kind["kind"] == "stream" else "plain", "attempts": kind["attempts"],
               "public": False, "sticky": kind["kind"] == "stream", "stream_resume": kind["resume"],
               "gap_target_ms": 400} for index, kind in enumerate(site["kinds"])]
    routes += [{**routes[-1], "name": "idle-%d" % number, "prefix": "/idle-%d/" % number}
               for number in range(idle_routes)]
    return {"version": version, "routes": routes,
            "services": [{**service, "name": "models", "max_connections": engines, "cold_start_s": 3.0,
                          "cold_per_s": 18.0, "engine": ENGINE},
                         {**service, "name": "plain", "max_connections": plain, "cold_start_s": 0.0,
                          "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-%d" % number, "api_keys": [key]} for number, key in enumerate(keys)]}
