"""Views of waiting jobs for tests."""

from gypsumwalk.backlog import JobView


def make_view(job, *, submitted=100.0, span=2.0, work=1.0, path=1.0, **fields):
    """Return the view of a job that is due ``span`` seconds after its submission.

    Its result has no value after three times that span, as the platform states.
    ``path`` is the duration of its critical path in seconds.
    """
    due = submitted + span
    defaults = {
        "team": "team",
        "priority": 0,
        "latest_start": due - path,
        "due": due,
        "expires": submitted + 3 * span,
        "mean_work": 1.0,
        "total_work": work,
    }
    return JobView(job, submitted=submitted, work=work, **{**defaults, **fields})
