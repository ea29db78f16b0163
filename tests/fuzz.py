"""Random faults against whole sessions; the checker decides.

``python tests/fuzz.py SEEDS [FIRST]`` runs that many seeds, prints the trace of each
failing one, and ends with a line of totals. Exit status 1 means a violation.
"""

import random
import sys

import sessions
from burdockgate import codes
from burdockgate.request import outcome

ENTRIES = [f"entry-{index}" for index in (1, 2, 3)]
AGENTS = [f"agent-{index}" for index in (1, 2, 3, 4, 5)]
STEPS = 60
KEYS = 6
DEADLINE_MS = 6000
SETTLE_S = 30.0
TRACE_LINES = 60


class Run:
    """One seed: a session, its random faults and what the callers saw."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.session = sessions.Session(entries=3, agents=5, slots=2, seed=seed)
        self.session.filters.append(self._disturb)
        self.disturbance = 0.0
        self.request_by_ticket = {}
        self.entry_by_ticket = {}
        self.answered_at = {}
        self.request_by_key = {}
        self.steps = 0

    def _disturb(self, _from, _to, _message, delays):
        """Lose, delay or double a message now and then."""
        if self.rng.random() >= self.disturbance:
            return delays
        kind = self.rng.randrange(3)
        if kind == 0:
            return []
        late = delays[0] + self.rng.uniform(0, 0.5)
        return [late] if kind == 1 else [*delays, late]

    def request(self):
        """Return a job of one of a few keys, always the same for a key."""
        key = f"k{self.rng.randrange(KEYS)}"
        if key not in self.request_by_key:
            self.request_by_key[key] = sessions.make_request(
                key,
                [self.rng.randrange(10, 400) for _ in range(self.rng.randrange(1, 9))],
                repeatable=self.rng.random() < 0.5,
                deadline_ms=DEADLINE_MS,
            )
        return self.request_by_key[key]

    def go(self):
        """Take random steps, mend everything, and wait for the end."""
        for _ in range(STEPS):
            self.rng.choice(ACTIONS)(self)
            self.session.run(self.rng.choice((0.0, 0.01, 0.1, 0.5)))
            self._collect()
        self._mend()
        for _ in range(int(SETTLE_S / 0.5)):
            self.session.run(0.5)
            self._collect()
        self.steps = len(self.session.trace)
        return list(self._violations())

    def _collect(self):
        for ticket in self.session.answers:
            self.answered_at.setdefault(ticket, self.session.clock.now())

    def _alive(self, names):
        return [
            name
            for name in names
            if name in self.session.processes
            and not self.session.processes[name].frozen
        ]

    def submit(self):
        alive = self._alive(ENTRIES)
        if alive:
            request = self.request()
            name = self.rng.choice(alive)
            ticket = self.session.submit(name, request)
            self.request_by_ticket[ticket] = request
            self.entry_by_ticket[ticket] = self.session.processes[name]

    def cancel(self):
        alive = self._alive(ENTRIES)
        if alive and self.request_by_key:
            key = self.rng.choice(sorted(self.request_by_key))
            name = self.rng.choice(alive)
            self.session.cancel(name, self.request_by_key[key])

    def kill(self):
        alive = self._alive(ENTRIES + AGENTS)
        if len(alive) > 3:
            self.session.kill(self.rng.choice(alive))

    def restart(self):
        dead = [name for name in ENTRIES + AGENTS if name not in self.session.processes]
        if dead:
            self.session.start(self.rng.choice(dead))

    def freeze(self):
        alive = self._alive(ENTRIES + AGENTS)
        if len(alive) > 3:
            self.session.freeze(self.rng.choice(alive))

    def thaw(self):
        frozen = [
            name for name, process in self.session.processes.items() if process.frozen
        ]
        if frozen:
            self.session.thaw(self.rng.choice(frozen))

    def cut(self):
        first, second = self.rng.sample(ENTRIES + AGENTS, 2)
        self.session.cut(first, second)

    def heal(self):
        if self.session.cuts:
            pair = self.rng.choice(sorted(map(sorted, self.session.cuts)))
            self.session.heal(*pair)

    def log_outage(self):
        self.session.log_is_up = not self.session.log_is_up

    def disturb(self):
        self.disturbance = self.rng.choice((0.0, 0.0, 0.05, 0.3))

    def _mend(self):
        self.disturbance = 0.0
        self.session.log_is_up = True
        for pair in [sorted(pair) for pair in self.session.cuts]:
            self.session.heal(*pair)
        for name in ENTRIES + AGENTS:
            process = self.session.processes.get(name)
            if process is None:
                self.session.start(name)
            elif process.frozen:
                self.session.thaw(name)

    def _violations(self):
        yield from self._doubled_starts()
        yield from self._repeated_attempts()
        complete = {}
        for ticket, request in self.request_by_ticket.items():
            result = self.session.answers.get(ticket)
            if result is None:
                yield from self._missing(ticket)
            elif isinstance(result, outcome.Complete):
                yield from _wrong_answer(ticket, request, result, complete)
            elif codes.start_of(result.code) is codes.Start.NOT_RUN:
                yield from self._false_not_run(ticket, request, result)

    def _missing(self, ticket):
        process = self.entry_by_ticket[ticket]
        if self.session.processes.get(process.name) is process:
            yield f"caller {ticket} of {process.name} was never answered"

    def _doubled_starts(self):
        seen = set()
        for start in self.session.starts:
            key = (start.job, start.attempt, start.index)
            if key in seen:
                yield f"task {start.index} attempt {start.attempt} started twice"
            seen.add(key)

    def _repeated_attempts(self):
        for request in self.request_by_key.values():
            attempts = {
                start.attempt
                for start in self.session.starts
                if start.job == request.job
            }
            if not request.repeatable and len(attempts) > 1:
                yield f"{request.key} is not repeatable and ran in {sorted(attempts)}"

    def _false_not_run(self, ticket, request, result):
        for start in self.session.starts:
            if start.job != request.job:
                continue
            is_refusal = isinstance(result, outcome.Refused)
            if is_refusal and start.at >= self.answered_at[ticket] - 0.5:
                continue
            if is_refusal or start.attempt == result.attempt:
                yield f"caller {ticket} was told {result.code.name} of {request.key}"
                return


def _wrong_answer(ticket, request, result, complete):
    if result.results != tuple(task.payload for task in request.tasks):
        yield f"caller {ticket} got a partial or crossed answer"
    known = complete.setdefault((request.key, result.attempt), result.results)
    if known != result.results:
        yield f"caller {ticket} got another answer than an earlier caller"


ACTIONS = (
    [Run.submit] * 8
    + [Run.kill, Run.restart, Run.freeze, Run.thaw, Run.thaw]
    + [Run.cut, Run.heal, Run.log_outage, Run.disturb, Run.cancel, Run.restart]
)


def main(count, first=0):
    steps = violations = 0
    for seed in range(first, first + count):
        run = Run(seed)
        found = run.go()
        steps += run.steps
        if found:
            violations += len(found)
            print(f"seed {seed}:")
            for line in found:
                print("  ", line)
            print("\n".join(run.session.trace[-TRACE_LINES:]))
    print(f"seeds={count} steps={steps} violations={violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
