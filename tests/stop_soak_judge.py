"""Judges a play of tests/stop_soak.py by what callers and workers have seen, as RULES.md says."""
import collections

GRACE_S = 8.0
CONTACT_S = 3.0
LOSS_SLACK_S = 0.2
CONFIG_APPLY_S = 2.0


class Judge:
    """Judges the rows of the callers and the runs of the workers of one play."""

    def __init__(self, soak):
        self.soak = soak
        self.kinds = {kind["name"]: kind for kind in soak.site["kinds"]}
        self.runs = collections.defaultdict(list)
        for run in sorted(soak.runs, key=lambda run: run["begin"]):
            self.runs[run["id"]].append(run)
        self.counts = collections.Counter()
        self.failures = [(text, None) for text in soak.problems]
        self.notes = []

    def judge(self):
        for run in self.soak.runs:
            if run["error"]:
                self.fail("UNASKED", {"id": run["id"]}, "%s at %s" % (run["error"], run["worker"]))
        for row in self.soak.rows:
            runs, kind = self.runs[row["id"]], self.kinds[row["kind"]]
            if row["error"]:
                self.fail("MIXED", row, row["error"])
            if not (kind["kind"] == "safe" or kind["resume"]):
                if len(runs) > 1:
                    self.fail("TWICE", row, "%d runs" % len(runs))
                if runs and row["status"] in (408, 421, 429, 503):
                    self.fail("REFUSED", row, "%d, but it ran" % row["status"])
            if any(at < row["sent"] < (end or at + GRACE_S) for at, end in self.soak.instances[row["gateway"]].stops):
                self.counts["sent to a stopping instance, %s" % ("passed on" if runs else "not passed on")] += 1
            self.counts["served" if row["status"] == 200 and row["complete"] else "not served"] += 1
            if not row["complete"]:
                self.judge_end(row, runs)
        self.judge_changes()
        elsewhere = [row for row in self.soak.rows if row.get("elsewhere")]
        if sum(row["status"] == 0 and row["kept"] for row in elsewhere) > 3:
            for row in elsewhere:
                self.fail("LOST elsewhere", row, "no planned work around it")
        return self

    def judge_end(self, row, runs):
        """A connection that ended without a complete answer."""
        instance, sent, end = self.soak.instances[row["gateway"]], row["sent"], row["end"]
        if row["how"] in ("left", "deadline", "gap") or row["how"].startswith("half-closed"):
            self.counts["ended by the caller: " + row["how"].split()[0]] += 1
            if row["how"] == "gap":
                self.note("no event for seconds", row, runs)
            return
        if row["whole"] is None or not (runs or end - row["whole"] > LOSS_SLACK_S):
            return
        if end >= row["limit"] - 0.05:
            self.counts["ended at the deadline"] += 1
            return
        if any(first <= end and last >= sent - CONTACT_S for first, last in instance.freezes):
            self.counts["ended at a frozen instance"] += 1
            return
        stops = [stop for stop in instance.stops if stop[0] <= end and sent <= stop[0] + GRACE_S + 1 >= end]
        reloads = [at for at in instance.reloads if at <= end and sent <= at + CONFIG_APPLY_S]
        if not stops and not reloads:
            row["elsewhere"], row["stop"] = bool(runs), [sent, None]
            self.counts["cut elsewhere"] += 1
            self.note("cut elsewhere", row, runs)
            return
        row["stop"] = stops[-1] if stops else [reloads[-1], None]
        at = row["stop"][0]
        late = [run for run in runs if stops and run["begin"] < at + GRACE_S and
                (run["end"] is None or run["end"] > at + GRACE_S * 5 / 6)]
        if late and sent - at <= 3:
            self.counts["excused: at work in the last sixth of the grace"] += 1
            return
        self.fail("LOST", row, self.explain(row, runs, at), self.way(row, runs, at))

    def judge_changes(self):
        """Beside configurations, an instance may not cut requests over three times as often as at other times."""
        spans = []  # merged times in which a configuration may be the reason
        for sent, acknowledged in self.soak.changes:
            end = acknowledged + CONFIG_APPLY_S + 1
            if spans and sent <= spans[-1][1]:
                spans[-1][1] = end
            else:
                spans.append([sent, end])
        first, last = self.soak.played
        beside_s = sum(max(0.0, min(end, last) - max(begin, first)) for begin, end in spans)
        for index in range(len(self.soak.instances)):
            cut = [row for row in self.soak.rows if row.get("elsewhere") and row["gateway"] == index and
                   row["end"] - row["sent"] < 0.7 * (row["limit"] - row["sent"])]
            beside = [row for row in cut if any(begin <= row["end"] <= end for begin, end in spans)]
            others = len(cut) - len(beside)
            if len(beside) * max(0.01, last - first - beside_s) > 3 * others * beside_s:
                for row in beside:
                    self.fail("LOST beside a configuration", row, self.explain(row, self.runs[row["id"]], row["sent"]),
                              self.way(row, self.runs[row["id"]], row["sent"]))

    def note(self, what, row, runs):
        """Keeps what breaks no rule, with times relative to the request's begin."""
        self.notes.append("%s: %s %s %s: %s" % (what, row["kind"], row["id"], self.soak.instances[row["gateway"]].name,
                                                self.explain({**row, "stop": [row["sent"], None]}, runs, row["sent"])))

    @staticmethod
    def way(row, runs, at):
        """How a request was lost, as the incident's hypotheses name it."""
        if not runs:
            return "not run"
        if runs[-1]["how"] == "500":
            return "after a failure of its upstream"
        if any(run["how"] == "whole" for run in runs):
            return "whole answer not delivered"
        if row["end"] - at > 6.9:
            return "cut at the end of the grace"
        run = runs[-1]
        silent = row["end"] - (run["last"] or run["begin"])
        return "given up for a silent upstream" if silent > 0.8 else "cut before the end of the grace"

    @staticmethod
    def explain(row, runs, at):
        def when(moment):
            return "-" if moment is None else "%+.2f" % (moment - at)

        work = ", ".join("%s %s..%s last event %s longest gap %.2f s %s" % (
            run["worker"], when(run["begin"]), when(run["end"]), when(run["last"]), run["gap_s"], run["how"])
                         for run in runs)
        return "sent %s whole %s end %s deadline %s process end %s, status %d %s, body in %s%s%s [%s]" % (
            when(row["sent"]), when(row["whole"]), when(row["end"]), when(row["limit"]), when(row["stop"][1]),
            row["status"], row["how"], row["framing"], ", kept connection" if row["kept"] else "",
            ", slow reader" if row["slow"] else "", work)

    def fail(self, rule, row, text, way=""):
        self.counts[" ".join(filter(None, [rule, row.get("kind", ""), way]))] += 1
        name = self.soak.instances[row["gateway"]].name if "gateway" in row else "-"
        text = "%s %s %s %s: %s%s" % (rule, row.get("kind", "-"), row["id"], name, text, way and "; " + way)
        self.failures.append((text, row))
