"""Fuzzer that injects random faults into sessions and runs the checker on them.

Half of the seeds inject single random faults, the other half mostly scenarios:
sequences of faults at random times that a guard of the protocol is meant for. Scenarios
overlap each other and the single faults.

``python tests/fuzz.py SEEDS [FIRST]`` runs that many seeds, prints the end of the trace
of each failing seed, and then a line of totals. Exit status 1 means a violation.
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
STEP_COUNT = 60
KEY_COUNT = 6
DEADLINES_MS = (1500, 6000, 12_000)
SETTLE_S = 30.0
TRACE_LINES = 60


class FuzzRun:
    """The run of one seed: a session, its random faults and the calls to it."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.session = sessions.Session(entries=3, agents=5, slots=2, seed=seed)
        self.session.filters.append(self._disturb)
        self.disturb_probability = 0.0
        self.silent_pairs = set()
        self.is_over = False
        self.request_by_ticket = {}
        self.entry_by_ticket = {}
        self.requested_at_by_ticket = {}
        self.submission_tickets = set()
        self.answered_at_by_ticket = self.session.answered_at
        self.request_by_key = {}
        self.events = []
        self.trace_line_count = 0

    def _disturb(self, sender, to, message, delays):
        """Lose, delay or duplicate a random message; a filter of the session."""
        if isinstance(message, messages.Start | messages.Fence):
            self._record_owner(sender, message)
        if frozenset((sender, to)) in self.silent_pairs:
            return []
        if self.rng.random() >= self.disturb_probability:
            return delays
        kind = self.rng.randrange(3)
        if kind == 0:
            return []
        late_s = delays[0] + self.rng.uniform(0, 0.5)
        return [late_s] if kind == 1 else [*delays, late_s]

    def _record_owner(self, sender, message):
        """Record the owner of an epoch, which alone sends starts and fences."""
        owner = f"{sender} boot {self.session.core(sender).node.boot}"
        at, job = self.session.clock.now(), message.job
        claimed = trace.Claimed(at, job, message.attempt, message.epoch, owner)
        self.events.append(claimed)

    def request(self):
        """Return the job of a random key; a key always has the same job."""
        key = f"k{self.rng.randrange(KEY_COUNT)}"
        return self.request_by_key.get(key) or self._new_request(key)

    def _new_request(self, key="", count=None, longest_ms=400):
        """Return a new job of a key, by default of an unused key."""
        key = key or f"new{len(self.request_by_key)}"
        count = count or self.rng.randrange(1, 9)
        self.request_by_key[key] = sessions.make_request(
            key,
            [self.rng.randrange(10, longest_ms) for _ in range(count)],
            repeatable=self.rng.random() < 0.5,
        )
        return self.request_by_key[key]

    def execute(self):
        """Take random steps, end all faults, and return the violations."""
        if self.rng.random() < 0.5:
            steps, actions, waits = STEP_COUNT, ACTIONS, (0.0, 0.01, 0.1, 0.5)
        else:
            steps, actions, waits = STEP_COUNT // 4, SCENARIOS, (0.1, 1.0, 3.0)
        for _ in range(steps):
            scenario = self.rng.choice(actions)(self)
            if scenario is not None:
                self._advance(scenario)
            self.session.run(self.rng.choice(waits))
        self._end_faults()
        self.session.run(SETTLE_S)
        self.trace_line_count = len(self.session.trace)
        return list(self._violations())

    def _advance(self, scenario):
        """Take the next step of a scenario, and schedule the one after it."""
        wait_s = None if self.is_over else next(scenario, None)
        if wait_s is not None:
            self.session.schedule(wait_s, lambda: self._advance(scenario))

    def _alive(self, names):
        return [
            name
            for name in names
            if name in self.session.processes
            and not self.session.processes[name].is_frozen
        ]

    def submit(self, name="", request=None, deadlines_ms=DEADLINES_MS):
        alive = self._alive([name] if name else ENTRIES)
        if alive:
            request = attrs.evolve(
                request or self.request(), deadline_ms=self.rng.choice(deadlines_ms)
            )
            name = self.rng.choice(alive)
            ticket = self.session.submit(name, request)
            self.submission_tickets.add(ticket)
            self._record_request(ticket, name, request)
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
            self._record_request(self.session.cancel(name, request), name, request)

    def _record_request(self, ticket, name, request):
        self.requested_at_by_ticket[ticket] = self.session.clock.now()
        self.request_by_ticket[ticket] = request
        self.entry_by_ticket[ticket] = self.session.processes[name]

    def kill(self, name=""):
        alive = self._alive(ENTRIES + AGENTS)
        if len(alive) > 3:
            self._kill_if_running(name or self.rng.choice(alive))

    def _kill_if_running(self, name):
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
            if process.is_frozen and name in ("", each)
        ]
        if frozen:
            self.session.thaw(self.rng.choice(frozen))

    def cut(self):
        first, second = self.rng.sample(ENTRIES + AGENTS, 2)
        self.session.cut(first, second)

    def heal(self):
        if self.session.cut_pairs:
            pair = self.rng.choice(sorted(map(sorted, self.session.cut_pairs)))
            self.session.heal(*pair)

    def toggle_log(self):
        self.session.log_is_up = not self.session.log_is_up

    def set_disturbance(self):
        self.disturb_probability = self.rng.choice((0.0, 0.0, 0.05, 0.3))

    # Scenarios: generators that yield the seconds until their next step

    def _choose_two_entries(self):
        """Return two entry hosts in random order."""
        return self.rng.sample(ENTRIES, 2)

    def pause_owner(self):
        """Pause an owner during a takeover, mostly before its job has started."""
        first, second = self._choose_two_entries()
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

    def isolate_owner(self):
        """Cut an owner off from the other entry hosts but not from its agents."""
        first, second = self._choose_two_entries()
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

    def claim_by_stale_view(self):
        """Let an entry host claim by an old view, whose claim group was replaced."""
        first, second = self._choose_two_entries()
        lost = self.rng.sample(AGENTS, 2)
        for name in lost:
            self._kill_if_running(name)
        yield self.rng.uniform(10, 15)
        self.session.processes_without_log.add(first)
        yield from self._cut_off(first, ENTRIES, 0.0)
        for name in lost:
            self.restart(name)
        yield self.rng.uniform(0, 3)
        for request in [self._new_request(count=4) for _ in range(4)]:
            for name in self.rng.sample((first, second), 2):
                self.submit(name, request)
                yield self.rng.choice((0.0, 0.0006, 0.1))
        yield self.rng.uniform(0, 3)
        self.session.processes_without_log.discard(first)
        self._heal_all()

    def partition_nodes(self):
        """Partition the nodes in halves, one with the log, and submit to both."""
        everyone = ENTRIES + AGENTS
        half = self.rng.sample(everyone, len(everyone) // 2)
        request = self._new_request(count=12, longest_ms=1000)
        self.submit("", request)
        yield self.rng.uniform(0, 0.1)
        self.session.processes_without_log.update(set(half) & set(ENTRIES))
        for name in half:
            yield from self._cut_off(name, set(everyone) - set(half), 0.0)
        yield self.rng.uniform(0, 1)
        for name in ENTRIES:
            self.submit(name, request)
            self.submit(name)
        yield self.rng.uniform(0.5, 14)
        self.session.processes_without_log.clear()
        self._heal_all()

    def lose_data_centre(self):
        """Kill or pause the processes of a data centre, and start them again."""
        data_centre = f"dc{self.rng.randrange(4)}"
        place_by_name = self.session.place_by_name
        names = [n for n in ENTRIES + AGENTS if place_by_name[n][1] == data_centre]
        request = self._new_request(count=12, longest_ms=1000)
        self.submit("", request)
        yield self.rng.uniform(0, 0.3)
        is_pause = self.rng.random() < 0.5
        for name in names:
            (self.freeze if is_pause else self._kill_if_running)(name)
        self.submit("", request)
        yield self.rng.uniform(0, 12)
        for name in names:
            (self.thaw if is_pause else self.restart)(name)
        self.submit("", request)

    def change_view(self):
        """Restart agents, and so replace voters, while entry hosts claim jobs."""
        requests = [self._new_request() for _ in range(4)]
        for name in self.rng.sample(AGENTS, 2):
            self._kill_if_running(name)
            self.restart(name)
            for request in requests:
                self.submit("", request)
                yield self.rng.choice((0.0, 0.0006, 0.05, 0.5))

    def silence_connection(self):
        """Drop the messages of a connection, mostly for over a lease, and close it."""
        pair = frozenset(self.rng.sample(ENTRIES + AGENTS, 2))
        self.silent_pairs.add(pair)
        yield self.rng.uniform(0.2, 5)
        self.silent_pairs.discard(pair)
        if not self.session.cut_pairs & {pair}:
            self.session.cut(*sorted(pair))
            self.session.heal(*sorted(pair))

    def cancel_wave(self):
        """Submit jobs to several entry hosts and cancel all of them at once."""
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
        for pair in sorted(map(sorted, self.session.cut_pairs)):
            self.session.heal(*pair)
        self.session.read_log()

    def _end_faults(self):
        self.is_over = True
        self.disturb_probability = 0.0
        self.silent_pairs.clear()
        self.session.log_is_up = True
        self.session.processes_without_log.clear()
        self._heal_all()
        for name in ENTRIES + AGENTS:
            self.restart(name)
            self.thaw(name)

    def _violations(self):
        for violation in checker.check(self._checker_events(), checker.Settings()):
            yield f"{violation.invariant.value}: {violation.detail}"
        for ticket, request in self.request_by_ticket.items():
            result = self.session.answers.get(ticket)
            if result is None:
                yield from self._check_answered(ticket)
            elif codes.start_class(result.code) is codes.StartClass.NOT_RUN:
                yield from self._check_not_run(ticket, request, result)

    def _checker_events(self):
        """Yield the events for the checker, with results as backend servers echo."""
        yield from self.events
        for start in self.session.starts:
            fields = (start.at, start.job, start.attempt, start.index, start.agent)
            yield trace.Started(*fields, b"")
        for ticket, request in self.request_by_ticket.items():
            result = self.session.answers.get(ticket)
            if result is not None:
                results = result.results if isinstance(result, outcome.Complete) else ()
                yield trace.Answered(
                    self.answered_at_by_ticket[ticket],
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

    def _check_answered(self, ticket):
        process = self.entry_by_ticket[ticket]
        if self.session.processes.get(process.name) is process:
            yield f"caller {ticket} of {process.name} was never answered"

    def _may_belong_to_other_submission(self, ticket, request, start):
        """Return whether a start may belong to a submission during the refused call.

        A refusal is about its own call only. In seed 8019, a cancel was refused after a
        later submission of the job had run at another entry host.
        """
        if start.at < self.requested_at_by_ticket[ticket]:
            return False
        others = [
            each
            for each in self.submission_tickets - {ticket}
            if self.request_by_ticket[each].job == request.job
        ]
        return any(
            self.requested_at_by_ticket[each] <= start.at
            and self.answered_at_by_ticket.get(each, math.inf) >= start.at
            for each in others
        )

    def _check_not_run(self, ticket, request, result):
        for start in self.session.starts:
            if start.job != request.job:
                continue
            is_refusal = isinstance(result, outcome.Refused)
            if is_refusal and self._may_belong_to_other_submission(
                ticket, request, start
            ):
                continue
            if is_refusal and start.at >= self.answered_at_by_ticket[ticket] - 0.5:
                continue
            if is_refusal or start.attempt == result.attempt:
                yield f"caller {ticket} was told {result.code.name} of {request.key}"
                return


ACTIONS = (
    [FuzzRun.submit] * 8
    + [FuzzRun.kill, FuzzRun.restart, FuzzRun.freeze, FuzzRun.thaw, FuzzRun.thaw]
    + [
        FuzzRun.cut,
        FuzzRun.heal,
        FuzzRun.toggle_log,
        FuzzRun.set_disturbance,
        FuzzRun.cancel,
        FuzzRun.restart,
    ]
    + [FuzzRun.silence_connection, FuzzRun.cancel_wave, FuzzRun.change_view]
)
SCENARIOS = [
    *(
        FuzzRun.pause_owner,
        FuzzRun.isolate_owner,
        FuzzRun.claim_by_stale_view,
        FuzzRun.partition_nodes,
        FuzzRun.lose_data_centre,
    ),
    *(
        FuzzRun.change_view,
        FuzzRun.silence_connection,
        FuzzRun.cancel_wave,
        FuzzRun.submit,
        FuzzRun.set_disturbance,
    ),
]


def main(count, first=0):
    steps = violations = 0
    for seed in range(first, first + count):
        run = FuzzRun(seed)
        found = run.execute()
        steps += run.trace_line_count
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
