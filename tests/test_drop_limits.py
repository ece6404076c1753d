"""Tests that the selection of jobs starves no group of them."""

import unittest
from dataclasses import replace

from gypsumwalk.backlog import RoomView
from gypsumwalk.drop_limits import MAX_DEFERRAL_SECONDS, WINDOW_SECONDS, DropLimits
from gypsumwalk.job_selection import JobGroup, select_jobs
from tests.test_job_selection import NOW, make_view

ROOM = RoomView(4.0)


def decide(limits, jobs, now, room=ROOM):
    selection = select_jobs(jobs, room, now, kept=limits.choose_kept(jobs, now))
    limits.record(jobs, selection, now)
    return selection


def miss(limits, job, at):
    """Let a job wait until it can only be late."""
    limits.choose_kept([job], at)
    limits.choose_kept([job], job.latest_start + 0.01)


class TestLargeJobs(unittest.TestCase):
    """Small jobs alone fill the pool for many seconds."""

    def serve(self, limits, count, at=NOW):
        limits.choose_kept([make_view(f"s{number}") for number in range(count)], at)
        limits.choose_kept([], at)

    def make_overload(self):
        jobs = [make_view(f"small-{number:02}") for number in range(20)]
        return [*jobs, make_view("large", work=5.0)]

    # A large job has the least value per core-second, so that it was dropped in each
    # selection until it was late.
    def test_a_large_job_is_kept_after_others_were_missed(self):
        limits = DropLimits()
        self.serve(limits, 8)
        for number in range(4):
            miss(limits, make_view(f"missed-{number}", work=5.0), NOW)
        selection = decide(limits, self.make_overload(), NOW + 0.5)
        assert selection.ranks["large"][1] == JobGroup.SELECTED

    def test_a_large_job_is_dropped_while_large_jobs_are_served_often_enough(self):
        limits = DropLimits()
        self.serve(limits, 8)
        limits.choose_kept([make_view(f"l{n}", work=5.0) for n in range(3)], NOW)
        limits.choose_kept([], NOW)
        miss(limits, make_view("missed", work=5.0), NOW)
        selection = decide(limits, self.make_overload(), NOW + 0.5)
        assert "large" in selection.dropped

    def test_misses_are_forgotten_after_the_window(self):
        limits = DropLimits()
        self.serve(limits, 8)
        miss(limits, make_view("missed", work=5.0), NOW)
        later = NOW + WINDOW_SECONDS + 2.0
        shift = later - NOW
        jobs = [make_view(f"j{number:02}", slack=2.0 + shift) for number in range(20)]
        jobs.append(make_view("large", work=5.0, slack=2.0 + shift))
        assert "large" in decide(limits, jobs, later).dropped

    # When all are missed alike, keeping large jobs would take the room of many others.
    def test_nothing_is_kept_if_small_jobs_are_missed_as_often(self):
        limits = DropLimits()
        for number in range(4):
            miss(limits, make_view(f"small-{number}"), NOW)
            miss(limits, make_view(f"large-{number}", work=5.0), NOW)
        assert not limits.choose_kept([make_view("large", work=5.0)], NOW)

    # A large job that had begun was dropped again, or its later steps began too late.
    def test_a_kept_job_that_has_begun_is_kept_until_it_is_done(self):
        limits = DropLimits()
        self.serve(limits, 8)
        for number in range(4):
            miss(limits, make_view(f"missed-{number}", work=5.0), NOW)
        assert limits.choose_kept([make_view("large", work=5.0)], NOW) == {"large"}
        begun = make_view("large", work=2.0, total_work=5.0, has_started=True)
        jobs = [begun, make_view("next", work=5.0)]
        assert limits.choose_kept(jobs, NOW) == {"large", "next"}
        assert not limits.choose_kept([], NOW)

    def test_at_most_one_job_of_a_group_is_kept(self):
        limits = DropLimits()
        self.serve(limits, 8)
        for number in range(4):
            miss(limits, make_view(f"missed-{number}", work=5.0), NOW)
        jobs = [make_view("l-1", work=6.0), make_view("l-2", work=5.0)]
        assert limits.choose_kept(jobs, NOW) == {"l-2"}


class TestDeferredTeam(unittest.TestCase):
    """The jobs of one team are the least valuable for longer than a burst."""

    def make_jobs(self, now):
        others = [
            make_view(
                f"j{number:02}",
                due=now - NOW + 2.5,
                slack=now - NOW + 2.0,
                has_started=number < 2,
            )
            for number in range(20)
        ]
        waiting = [
            make_view(name, team="deferred", work=50.0, slack=-20.0, submitted=at)
            for name, at in (("oldest", NOW - 9.0), ("newest", NOW))
        ]
        return others + waiting

    def test_its_oldest_job_is_kept_after_the_longest_deferral(self):
        limits = DropLimits()
        decide(limits, self.make_jobs(NOW), NOW)
        before = NOW + MAX_DEFERRAL_SECONDS - 0.1
        selection = decide(limits, self.make_jobs(before), before, RoomView(99.0))
        assert selection.ranks["oldest"][1] == JobGroup.EXPIRED
        after = NOW + MAX_DEFERRAL_SECONDS
        selection = decide(limits, self.make_jobs(after), after, RoomView(99.0))
        assert selection.ranks["oldest"][1] == JobGroup.SELECTED
        assert selection.ranks["newest"][1] == JobGroup.EXPIRED

    # It was kept in one selection only, and waited again if no core was free just then.
    def test_it_is_kept_until_it_starts(self):
        limits = DropLimits()
        decide(limits, self.make_jobs(NOW), NOW)
        for step in range(5):
            now = NOW + MAX_DEFERRAL_SECONDS + step
            selection = decide(limits, self.make_jobs(now), now)
            assert selection.ranks["oldest"][1] == JobGroup.SELECTED
        jobs = self.make_jobs(now)
        started = [replace(job, has_started=True) for job in jobs]
        assert not limits.choose_kept(started, now) & {"oldest", "newest"}

    def test_the_next_one_is_kept_after_another_deferral(self):
        limits = DropLimits()
        jobs = self.make_jobs(NOW)
        decide(limits, jobs, NOW)
        now = NOW + MAX_DEFERRAL_SECONDS
        decide(limits, self.make_jobs(now), now)
        rest = [job for job in self.make_jobs(now) if job.job != "oldest"]
        decide(limits, rest, now)
        later = now + MAX_DEFERRAL_SECONDS
        rest = [job for job in self.make_jobs(later) if job.job != "oldest"]
        assert "newest" not in limits.choose_kept(rest, later - 0.1)
        assert "newest" in limits.choose_kept(rest, later)

    # A job that had begun and was late stood for all jobs of its team.
    def test_a_team_with_a_begun_job_that_gets_no_room_is_deferred(self):
        limits = DropLimits()
        jobs = [make_view("begun", slack=-20.0, has_started=True)]
        decide(limits, jobs, NOW)
        kept = limits.choose_kept(jobs, NOW + MAX_DEFERRAL_SECONDS)
        assert kept == {"begun"}

    def test_a_team_with_a_selected_job_is_not_deferred(self):
        limits = DropLimits()
        for step in range(30):
            now = NOW + step
            jobs = [
                make_view("selected", due=step + 2.0, slack=step + 1.0),
                make_view("waits", work=50.0, slack=-20.0),
            ]
            assert not limits.choose_kept(jobs, now)
            decide(limits, jobs, now)


if __name__ == "__main__":
    unittest.main()
