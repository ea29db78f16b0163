"""Random faults against whole sessions; the checker decides.

Half of the seeds take single random faults, the other half mostly scenarios: faults
in the order that a guard of the protocol exists for, with random times. Scenarios
overlap each other and the single faults.

``python tests/fuzz.py SEEDS [FIRST]`` runs that many seeds, prints the trace of each
failing one, and ends with a line of totals. Exit status 1 means a violation.
"""

import math
import random
import sys

import attrs

import sessions
from burdockgate import codes, messages
from burdockgate.request import outcome
from burdockgate.standin import checker, trace

ENTRIES = [f"entry-{index}" for index in (1, 2, 3)]
AGENTS = [f"agent-{index}" for index in (1, 2, 3, 4, 5)]
STEPS = 60
KEYS = 6
DEADLINES_MS = (1500, 6000, 12_000)
SETTLE_S = 30.0
TRACE_LINES = 60


class Run:
    """One seed: a session, its random faults and what the callers saw."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.session = sessions.Session(entries=3, agents=5, slots=2, seed=seed)
        self.session.filters.append(self._disturb)
        self.disturbance = 0.0
        self.silent = set()
        self.is_over = False
        self.request_by_ticket = {}
        self.entry_by_ticket = {}
        self.asked_at = {}
        self.submissions = set()
        self.answered_at = self.session.answered_at
        self.request_by_key = {}
        self.events = []
        self.steps = 0

    def _disturb(self, sender, to, message, delays):
        """Lose, delay or double a message now and then."""
        if isinstance(message, messages.Start | messages.Fence):
            self._note_owner(sender, message)
        if frozenset((sender, to)) in self.silent:
            return []
        if self.rng.random() >= self.disturbance:
            return delays
        kind = self.rng.randrange(3)
        if kind == 0:
            return []
        late = delays[0] + self.rng.uniform(0, 0.5)
        return [late] if kind == 1 else [*delays, late]

    def _note_owner(self, sender, message):
        """Only the owner of an epoch sends starts and fences."""
        owner = f"{sender} boot {self.session.core(sender).node.boot}"
        at, job = self.session.clock.now(), message.job
        claimed = trace.Claimed(at, job, message.attempt, message.epoch, owner)
        self.events.append(claimed)

    def request(self):
        """Return a job of one of a few keys, always the same for a key."""
        key = f"k{self.rng.randrange(KEYS)}"
        return self.request_by_key.get(key) or self._new_request(key)

    def _new_request(self, key="", count=None, longest_ms=400):
        """Return a job of a key, by default of one that was not used before."""
        key = key or f"new{len(self.request_by_key)}"
        count = count or self.rng.randrange(1, 9)
        self.request_by_key[key] = sessions.make_request(
            key,
            [self.rng.randrange(10, longest_ms) for _ in range(count)],
            repeatable=self.rng.random() < 0.5,
        )
        return self.request_by_key[key]

    def go(self):
        """Take random steps, mend everything, and wait for the end."""
        if self.rng.random() < 0.5:
            steps, actions, waits = STEPS, ACTIONS, (0.0, 0.01, 0.1, 0.5)
        else:
            steps, actions, waits = STEPS // 4, SCENARIOS, (0.1, 1.0, 3.0)
        for _ in range(steps):
            scenario = self.rng.choice(actions)(self)
            if scenario is not None:
                self._go_on(scenario)
            self.session.run(self.rng.choice(waits))
        self._mend()
        self.session.run(SETTLE_S)
        self.steps = len(self.session.trace)
        return list(self._violations())

    def _go_on(self, scenario):
        """Take the next step of a scenario, and the others after its waits."""
        wait_s = None if self.is_over else next(scenario, None)
        if wait_s is not None:
            self.session._later(wait_s, lambda: self._go_on(scenario))

    def _alive(self, names):
        return [
            name
            for name in names
            if name in self.session.processes
            and not self.session.processes[name].frozen
        ]

    def submit(self, name="", request=None, deadlines_ms=DEADLINES_MS):
        alive = self._alive([name] if name else ENTRIES)
        if alive:
            request = attrs.evolve(
                request or self.request(), deadline_ms=self.rng.choice(deadlines_ms)
            )
            name = self.rng.choice(alive)
            ticket = self.session.submit(name, request)
            self.submissions.add(ticket)
            self._await(ticket, name, request)
            tasks = tuple(task.payload for task in request.tasks)
            self.events.append(
                trace.Submitted(
                    self.session.clock.now(),
                    request.guest,
                    request.key,
                    1,
                    name,
                    tasks,
                    request.repeatable,
                )
            )

    def cancel(self, name="", request=None):
        alive = self._alive([name] if name else ENTRIES)
        if alive and self.request_by_key:
            request = request or self.rng.choice(list(self.request_by_key.values()))
            name = self.rng.choice(alive)
            self._await(self.session.cancel(name, request), name, request)

    def _await(self, ticket, name, request):
        self.asked_at[ticket] = self.session.clock.now()
        self.request_by_ticket[ticket] = request
        self.entry_by_ticket[ticket] = self.session.processes[name]

    def kill(self, name=""):
        alive = self._alive(ENTRIES + AGENTS)
        if len(alive) > 3:
            self._end(name or self.rng.choice(alive))

    def _end(self, name):
        if name in self.session.processes:
            self.session.kill(name)

    def restart(self, name=""):
        dead = [
            each
            for each in ([name] if name else ENTRIES + AGENTS)
            if each not in self.session.processes
        ]
        if dead:
            self.session.start(self.rng.choice(dead))

    def freeze(self, name=""):
        alive = self._alive(ENTRIES + AGENTS)
        if len(alive) > 3 and (not name or name in alive):
            self.session.freeze(name or self.rng.choice(alive))

    def thaw(self, name=""):
        frozen = [
            each
            for each, process in self.session.processes.items()
            if process.frozen and name in ("", each)
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

    # Scenarios; each yields the seconds until its next step

    def _rivals(self):
        """Return two entry hosts in random order."""
        return self.rng.sample(ENTRIES, 2)

    def pause_owner(self):
        """Pause an owner across a takeover, mostly with its job not started."""
        first, second = self._rivals()
        if self.rng.random() < 0.8:
            busy = self._new_request(count=20, longest_ms=2500)
            self.submit(second, busy, DEADLINES_MS[1:])
            yield 0.1
        request = self._new_request()
        self.submit(first, request)
        yield self.rng.choice((0.0006, 0.01, 0.2))
        self.freeze(first)
        self.submit(second, request)
        yield self.rng.uniform(1, 9)
        self.thaw(first)
        again = self.rng.choice((self.submit, self.cancel))
        again(self.rng.choice((first, first, second)), request)

    def hide_owner(self):
        """Cut an owner off from the other entry hosts but not from its agents."""
        first, second = self._rivals()
        request = self._new_request(count=self.rng.randrange(20, 60), longest_ms=2000)
        self.submit(first, request, DEADLINES_MS[1:])
        yield self.rng.uniform(0, 0.5)
        yield from self._cut_off(first, ENTRIES, self.rng.uniform(0, 1))
        self.submit(second, request, DEADLINES_MS[1:])
        yield self.rng.uniform(1, 6)
        if self.rng.random() < 0.3:
            self.cancel(first, request)
        yield self.rng.uniform(0, 3)
        self._heal_all()

    def stale_view(self):
        """Let an entry host without news claim by a group that no longer stands."""
        first, second = self._rivals()
        lost = self.rng.sample(AGENTS, 2)
        for name in lost:
            self._end(name)
        yield self.rng.uniform(10, 15)
        self.session.log_cuts.add(first)
        yield from self._cut_off(first, ENTRIES, 0.0)
        for name in lost:
            self.restart(name)
        yield self.rng.uniform(0, 3)
        for request in [self._new_request(count=4) for _ in range(4)]:
            for name in self.rng.sample((first, second), 2):
                self.submit(name, request)
                yield self.rng.choice((0.0, 0.0006, 0.1))
        yield self.rng.uniform(0, 3)
        self.session.log_cuts.discard(first)
        self._heal_all()

    def split(self):
        """Cut the nodes in halves, with the log in one of them, and use both."""
        everyone = ENTRIES + AGENTS
        half = self.rng.sample(everyone, len(everyone) // 2)
        request = self._new_request(count=12, longest_ms=1000)
        self.submit("", request)
        yield self.rng.uniform(0, 0.1)
        self.session.log_cuts.update(set(half) & set(ENTRIES))
        for name in half:
            yield from self._cut_off(name, set(everyone) - set(half), 0.0)
        yield self.rng.uniform(0, 1)
        for name in ENTRIES:
            self.submit(name, request)
            self.submit(name)
        yield self.rng.uniform(0.5, 14)
        self.session.log_cuts.clear()
        self._heal_all()

    def lose_place(self):
        """Lose or pause a whole data centre, and bring it back."""
        place = self.rng.randrange(4)
        names = [n for n in ENTRIES + AGENTS if self.session._places[n] == place]
        request = self._new_request(count=12, longest_ms=1000)
        self.submit("", request)
        yield self.rng.uniform(0, 0.3)
        is_pause = self.rng.random() < 0.5
        for name in names:
            (self.freeze if is_pause else self._end)(name)
        self.submit("", request)
        yield self.rng.uniform(0, 12)
        for name in names:
            (self.thaw if is_pause else self.restart)(name)
        self.submit("", request)

    def change_view(self):
        """Replace voters while claims are under way and entry hosts compete."""
        requests = [self._new_request() for _ in range(4)]
        for name in self.rng.sample(AGENTS, 2):
            self._end(name)
            self.restart(name)
            for request in requests:
                self.submit("", request)
                yield self.rng.choice((0.0, 0.0006, 0.05, 0.5))

    def hush(self):
        """Silence a connection, mostly for longer than a lease, and close it."""
        pair = frozenset(self.rng.sample(ENTRIES + AGENTS, 2))
        self.silent.add(pair)
        yield self.rng.uniform(0.2, 5)
        self.silent.discard(pair)
        if not self.session.cuts & {pair}:
            self.session.cut(*sorted(pair))
            self.session.heal(*sorted(pair))

    def cancel_wave(self):
        """Submit many jobs at several entry hosts and cancel all at once."""
        requests = [self._new_request() for _ in range(6)]
        for request in requests:
            for name in self.rng.sample(ENTRIES, self.rng.randrange(1, 4)):
                self.submit(name, request)
        yield self.rng.choice((0.0, 0.0006, 0.05, 1.0))
        for request in requests:
            self.cancel("", request)
            yield self.rng.choice((0.0, 0.0006))
        for request in requests:
            self.submit("", request)

    def _cut_off(self, name, others, wait_s):
        for other in sorted(set(others) - {name}):
            self.session.cut(name, other)
            yield wait_s

    def _heal_all(self):
        for pair in sorted(map(sorted, self.session.cuts)):
            self.session.heal(*pair)
        self.session.read_log()

    def _mend(self):
        self.is_over = True
        self.disturbance = 0.0
        self.silent.clear()
        self.session.log_is_up = True
        self.session.log_cuts.clear()
        self._heal_all()
        for name in ENTRIES + AGENTS:
            self.restart(name)
            self.thaw(name)

    def _violations(self):
        for violation in checker.check(self._events(), checker.Settings()):
            yield f"{violation.invariant.value}: {violation.detail}"
        for ticket, request in self.request_by_ticket.items():
            result = self.session.answers.get(ticket)
            if result is None:
                yield from self._missing(ticket)
            elif codes.start_class(result.code) is codes.StartClass.NOT_RUN:
                yield from self._false_not_run(ticket, request, result)

    def _events(self):
        """Yield the run as the checker reads it, with results as backends echo them."""
        yield from self.events
        for start in self.session.starts:
            at = (start.at, start.job, start.attempt, start.index, start.agent)
            yield trace.Started(*at, b"")
        for ticket, request in self.request_by_ticket.items():
            result = self.session.answers.get(ticket)
            if result is not None:
                results = result.results if isinstance(result, outcome.Complete) else ()
                yield trace.Answered(
                    self.answered_at[ticket],
                    request.guest,
                    request.key,
                    result.code,
                    result.attempt,
                    tuple(
                        b'{"task":%d,"echo":%b,"server":""}' % item
                        for item in enumerate(results)
                    ),
                    self.entry_by_ticket[ticket].name,
                )

    def _missing(self, ticket):
        process = self.entry_by_ticket[ticket]
        if self.session.processes.get(process.name) is process:
            yield f"caller {ticket} of {process.name} was never answered"

    def _may_be_of_another(self, ticket, request, start):
        """Return whether a start may belong to a submission during the refused call.

        A refusal speaks of its own call. One of a cancel (seed 8019) came when the
        submission after it had run at another entry host.
        """
        if start.at < self.asked_at[ticket]:
            return False
        others = [
            each
            for each in self.submissions - {ticket}
            if self.request_by_ticket[each].job == request.job
        ]
        return any(
            self.asked_at[each] <= start.at
            and self.answered_at.get(each, math.inf) >= start.at
            for each in others
        )

    def _false_not_run(self, ticket, request, result):
        for start in self.session.starts:
            if start.job != request.job:
                continue
            is_refusal = isinstance(result, outcome.Refused)
            if is_refusal and self._may_be_of_another(ticket, request, start):
                continue
            if is_refusal and start.at >= self.answered_at[ticket] - 0.5:
                continue
            if is_refusal or start.attempt == result.attempt:
                yield f"caller {ticket} was told {result.code.name} of {request.key}"
                return


ACTIONS = (
    [Run.submit] * 8
    + [Run.kill, Run.restart, Run.freeze, Run.thaw, Run.thaw]
    + [Run.cut, Run.heal, Run.log_outage, Run.disturb, Run.cancel, Run.restart]
    + [Run.hush, Run.cancel_wave, Run.change_view]
)
SCENARIOS = [
    *(Run.pause_owner, Run.hide_owner, Run.stale_view, Run.split, Run.lose_place),
    *(Run.change_view, Run.hush, Run.cancel_wave, Run.submit, Run.disturb),
]


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
