"""Announcements of instances that change nothing, answered without the node's loop."""

import msgspec

from gypsumwalk.effects import Answer
from gypsumwalk.fleet_calls import AnnounceInstanceCall
from gypsumwalk.submission_control import SubmissionControl
from gypsumwalk.workload_records import RegisteredInstance
from gypsumwalk.workloads import WorkloadSection

__all__ = ["KnownAnnouncements", "complete_registration"]


class KnownAnnouncements:
    """Acknowledges the announcements of lives that are registered as announced.

    An instance repeats its announcement every second or two, and nearly all of them
    change nothing. What the applied log contains is committed, so that the answer needs
    neither a leader nor the node.

    Parameters
    ----------
    workloads : WorkloadSection
        Registered instances.
    submission_control : SubmissionControl
        Observer of the terms of this daemon, which the next call has to tell it of.
    """

    def __init__(
        self, workloads: WorkloadSection, submission_control: SubmissionControl
    ) -> None:
        self._workloads = workloads
        self._submission_control = submission_control

    def acknowledge(self, call: msgspec.Struct) -> Answer | None:
        """Return the answer to a call that changes nothing; from any thread.

        The registration is read once: it is replaced as a whole when it changes.

        Parameters
        ----------
        call : msgspec.Struct
            Any call.

        Returns
        -------
        Answer or None
            The answer; None if the node has to handle the call.
        """
        if not isinstance(call, AnnounceInstanceCall):
            return None
        if not self._submission_control.is_term_observed:
            return None
        known = self._workloads.instances.get(call.registered.life)
        if known is None or known != complete_registration(call, known):
            return None
        return Answer(200)


def complete_registration(
    call: AnnounceInstanceCall, known: RegisteredInstance
) -> RegisteredInstance:
    """Return an announced registration with what is known of the life already.

    It stays draining, and cold until the time found first: an announcement that
    differed in these each time would have to be committed each time.

    Parameters
    ----------
    call : AnnounceInstanceCall
        The announcement.
    known : RegisteredInstance
        Registration of the same life.

    Returns
    -------
    RegisteredInstance
        The registration.
    """
    return msgspec.structs.replace(
        call.registered,
        draining=call.registered.draining or known.draining,
        cold_until=known.cold_until,
    )
