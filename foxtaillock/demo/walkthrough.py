"""Steps of the demonstration and their results."""

import asyncio
import collections
import functools
import json
import typing

from foxtaillock.demo import client
from foxtaillock.demo import fleet as fleets

__all__ = ["Results", "Walkthrough"]

_JOB_TIMEOUT_S = 30
_POLL_INTERVAL_S = 0.1
_WAVE_TIMEOUT_S = 25.0
_PROPAGATION_TIMEOUT_S = 5.0


class Results:
    """Counts of outcomes, violated guarantees and printed lines."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.lines: list[str] = []

    def print_line(self, line: str) -> None:
        """Prints a line and keeps it."""
        self.lines.append(line)
        print(line, flush=True)

    def check(self, is_kept: bool, guarantee: str) -> None:
        """Records and prints a violation unless a guarantee was kept."""
        if not is_kept:
            self.violations.append(guarantee)
            self.print_line(f"  BROKEN: {guarantee}")


class Walkthrough:
    """Runs the steps of the demonstration.

    Args:
        fleet: stand-ins and entry VMs.
        admin: client with the operator's key.
        results: receives the results.
    """

    def __init__(
        self, fleet: fleets.DemoFleet, admin: client.Client, results: Results
    ) -> None:
        self._fleet = fleet
        self._admin = admin
        self._results = results
        self._keys: dict[str, tuple[str, str]] = {}

    async def run(self, note: str, teams: typing.Sequence[str]) -> None:
        """Runs all steps.

        Args:
            note: text of the release note.
            teams: names of the teams that the note adds.
        """
        await self.accept_note(note)
        await self.issue_keys(teams)
        await self.wait_for_workers()
        await self.run_jobs(teams[0])
        await self.run_calls(teams[0])
        await self.drain_runner(teams[0])
        await self.withdraw_key(teams[-1])
        await self.run_wave()
        await self.stop_gracefully(teams[0])

    async def accept_note(self, note: str) -> None:
        """Accepts the release note and waits until all entry VMs apply it."""
        answer = await self._admin.send("POST", "/admin/v1/notes/accept", note)
        self._results.check(answer.status == 200, f"note accepted: {answer}")
        revision = answer.body.get("revision", 0)
        for i in range(len(self._fleet.entries)):
            await self._wait_until(
                functools.partial(self._has_revision, i, revision),
                _PROPAGATION_TIMEOUT_S,
            )
        self._results.print_line(
            f"note in force everywhere at revision {revision}"
        )

    async def _has_revision(self, entry: int, revision: int) -> bool:
        answer = await self._admin.send("GET", "/admin/v1/status", entry=entry)
        return bool(answer.body["revision"] >= revision)

    async def issue_keys(self, teams: typing.Sequence[str]) -> None:
        """Issues a key to each team."""
        for team in teams:
            answer = await self._admin.send_json(
                "POST", "/admin/v1/keys", {"team": team}
            )
            self._results.check(answer.status == 201, f"key issued: {answer}")
            key = (answer.body["key_id"], answer.body["secret"])
            self._keys[team] = key
        self._results.print_line(f"keys issued to {len(teams)} teams")

    async def wait_for_workers(self) -> None:
        """Waits until all workers have joined their pools."""
        joined = await self._wait_until(self._have_all_joined, _JOB_TIMEOUT_S)
        self._results.check(joined, "every worker is in a pool")
        self._results.print_line("workers have joined their pools")

    async def _have_all_joined(self) -> bool:
        answer = await self._admin.send("GET", "/admin/v1/vms?limit=500")
        workers = [r for r in answer.body["items"] if r["role"] == "worker"]
        return all(row["step"] == "joined" for row in workers)

    async def run_jobs(self, team: str) -> None:
        """Submits jobs to every queue of a team and waits for their ends."""
        queues = await self._admin.send("GET", "/admin/v1/queues")
        sender = self._admin.with_key(self._keys[team][1])
        names = [
            row["name"]
            for row in queues.body["items"]
            if not row.get("teams") or team in row["teams"]
        ]
        submissions = [
            self._run_job(sender, name, i) for name in names for i in range(8)
        ]
        await asyncio.gather(*submissions)
        counts = self._results.counts
        self._results.print_line(
            f"jobs: {counts['jobs accepted']} accepted,"
            f" {counts['jobs done']} done on {len(names)} queues"
        )
        self._check_journal()

    async def _run_job(
        self, sender: client.Client, queue: str, number: int
    ) -> None:
        body = {
            "cpu_millis": 1000,
            "memory_bytes": 2**30,
            "run_time_s": 0.2,
            "payload": json.dumps({"duration_s": 0.2}),
        }
        key_header = {"Idempotency-Key": f"{queue}-{number}"}
        path = f"/v1/queues/{queue}/jobs"
        answer = await self._submit_until_accepted(
            sender, path, body, key_header
        )
        if answer is None:
            return
        job_id = answer.body["job_id"]
        ended = await sender.send(
            "GET", f"/v1/jobs/{job_id}?wait_s={_JOB_TIMEOUT_S}"
        )
        state = ended.body.get("state", ended.code)
        self._results.counts[f"jobs {state}"] += 1
        if state == "unknown":
            self._results.counts["unknown"] += 1
        self._results.check(state == "done", f"job {job_id} is {state}")
        repeated = await sender.send_json("POST", path, body, key_header)
        is_same_job = repeated.body.get("job_id") == job_id
        self._results.check(
            is_same_job, "a repeated submission is the same job"
        )

    async def _submit_until_accepted(
        self,
        sender: client.Client,
        path: str,
        body: typing.Any,
        key_header: dict[str, str],
    ) -> client.Answer | None:
        """Submits a job until it is accepted.

        Submissions are refused while the pool has no owner.
        """
        for _ in range(50):
            answer = await sender.send_json("POST", path, body, key_header)
            if answer.status == 202:
                self._results.counts["accepted"] += 1
                self._results.counts["jobs accepted"] += 1
                return answer
            self._results.counts["refused"] += 1
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._results.check(False, f"job accepted: {answer}")
        return None

    def _check_journal(self) -> None:
        """Compares the jobs that the workers started with those accepted."""
        journal = self._fleet.platform.workers.read_journal()
        starts = collections.Counter(
            entry["task_id"].rpartition(".")[0]
            for entry in journal
            if entry["event"] == "started"
        )
        accepted = self._results.counts["jobs accepted"]
        lost = accepted - len(starts)
        self._results.counts["lost"] += lost
        self._results.counts["ran"] += len(starts)
        self._results.check(lost == 0, "no accepted job is lost")
        max_starts = max(starts.values(), default=0)
        self._results.check(max_starts <= 1, "no job runs twice")

    async def run_calls(self, team: str) -> None:
        """Calls every service; a quarter of the calls are not idempotent."""
        services = await self._admin.send("GET", "/admin/v1/services")
        sender = self._admin.with_key(self._keys[team][1])
        names = [row["name"] for row in services.body["items"]]
        calls = [
            self._call(sender, name, i, i % 4 != 0)
            for name in names
            for i in range(20)
        ]
        ran = sum(await asyncio.gather(*calls))
        self._results.print_line(f"calls: {ran} of {len(calls)} ran")
        self._results.check(ran == len(calls), "every call is answered")

    async def _call(
        self,
        sender: client.Client,
        service: str,
        number: int,
        is_idempotent: bool,
    ) -> bool:
        body = json.dumps({"work_s": 0.01, "number": number})
        extra = {"X-Idempotent": "true" if is_idempotent else "false"}
        if not is_idempotent:
            extra["Idempotency-Key"] = f"call-{service}-{number}"
        answer = await sender.send(
            "POST", f"/v1/services/{service}/call/quote", body, extra
        )
        count_names = {
            "ran": "ran",
            "not-run": "refused",
            "unknown": "unknown",
        }
        self._results.counts[
            count_names.get(answer.outcome, answer.outcome)
        ] += 1
        if answer.outcome != "ran":
            self._results.print_line(f"  call of {service}: {answer}")
        return answer.outcome == "ran"

    async def drain_runner(self, team: str) -> None:
        """Marks a runner as leaving and checks that it gets no new calls."""
        platform = self._fleet.platform
        name = sorted(platform.runners.vms)[0]
        service = platform.runners.vms[name].entry.service
        platform.mark_leaving(name)
        await asyncio.sleep(2.0)
        runs_before = self._count_runs(name)
        sender = self._admin.with_key(self._keys[team][1])
        calls = [self._call(sender, service, i, True) for i in range(30)]
        ran = sum(await asyncio.gather(*calls))
        new_runs = self._count_runs(name) - runs_before
        self._results.check(new_runs == 0, "a leaving runner gets nothing new")
        self._results.print_line(
            f"runner {name} left: {ran} calls ran elsewhere, {new_runs} on it"
        )

    def _count_runs(self, name: str) -> int:
        journal = self._fleet.platform.runners.journal
        return sum(1 for entry in journal if entry["runner"] == name)

    async def withdraw_key(self, team: str) -> None:
        """Withdraws a team's key and waits until all entry VMs reject it."""
        key_id, secret = self._keys[team]
        answer = await self._admin.send("DELETE", f"/admin/v1/keys/{key_id}")
        self._results.check(answer.status == 200, f"withdrawn: {answer}")
        sender = self._admin.with_key(secret)
        is_rejected = await self._wait_until(
            lambda: self._is_rejected_everywhere(sender), _PROPAGATION_TIMEOUT_S
        )
        self._results.check(is_rejected, "a withdrawn key stops in seconds")
        self._results.print_line(f"key of {team} withdrawn: works nowhere")

    async def _is_rejected_everywhere(self, sender: client.Client) -> bool:
        for i in range(len(self._fleet.entries)):
            answer = await sender.send("GET", "/v1/jobs/none.0", entry=i)
            if answer.code != "key-rejected":
                return False
        return True

    async def run_wave(self) -> None:
        """Runs one maintenance wave."""
        pools = await self._admin.send("GET", "/admin/v1/pools")
        pool = pools.body["items"][0]["name"]
        answer = await self._admin.send_json(
            "POST", "/admin/v1/waves", {"pool": pool}
        )
        self._results.check(answer.status == 201, f"wave begun: {answer}")
        wave = answer.body.get("name", "")
        done = await self._wait_until(
            lambda: self._is_wave_done(wave), _WAVE_TIMEOUT_S
        )
        self._results.check(done, f"the wave of pool {pool} ends")
        if done:
            self._results.print_line(f"maintenance wave of pool {pool} done")

    async def _is_wave_done(self, wave: str) -> bool:
        answer = await self._admin.send("GET", f"/admin/v1/waves/{wave}")
        return bool(answer.body.get("state") == "done")

    async def stop_gracefully(self, team: str) -> None:
        """Stops one entry VM gracefully while calls run on it."""
        sender = self._admin.with_key(self._keys[team][1])
        service = self._fleet.platform.config.services[-1]
        body = json.dumps({"work_s": 0.5})
        running = [
            asyncio.ensure_future(
                sender.send(
                    "POST",
                    f"/v1/services/{service}/call/slow",
                    body,
                    {"X-Idempotent": "true"},
                    entry=0,
                )
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        await self._fleet.entries[0].stop()
        answers = await asyncio.gather(*running)
        ran = sum(answer.outcome == "ran" for answer in answers)
        self._results.counts["ran"] += ran
        self._results.check(ran == len(answers), "no request is cut")
        self._results.print_line(
            f"entry VM stopped: {ran} of {len(answers)} running calls finished"
        )

    async def _wait_until(
        self,
        check: typing.Callable[[], typing.Awaitable[bool]],
        timeout_s: float,
    ) -> bool:
        end_s = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < end_s:
            if await check():
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False
