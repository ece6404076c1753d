"""Catalogue of the events that daemons log, each with a fixed number."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Event", "EventEntry", "Level"]


class Level(Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class EventEntry(NamedTuple):
    """One entry of the catalogue.

    Attributes
    ----------
    number : int
        Number of the event, which never changes.
    level : Level
        Severity.
    template : str
        Message template with the names of attributes in braces.
    """

    number: int
    level: Level
    template: str


class Event(Enum):
    """Every event that a daemon records.

    Numbers 1000 to 1999 belong to the daemon, 2000 to 2999 to agreement, membership,
    configuration, keys and portions, 3000 to 3999 to requests and targets, 4000 to 4999
    to jobs, pools and waves, 5000 to 5999 to work on a fleet of instances.
    """

    DAEMON_STARTED = EventEntry(1001, Level.INFO, "daemon started, version {version}")
    DAEMON_STOPPING = EventEntry(
        1002, Level.INFO, "daemon is stopping; {in_progress} requests in progress"
    )
    DAEMON_STOPPED = EventEntry(
        1003, Level.INFO, "daemon stopped, {cut} requests aborted"
    )
    MESSAGE_REJECTED = EventEntry(
        1004, Level.WARNING, "rejected a message from {source}: {reason}"
    )
    PEER_UNREACHABLE = EventEntry(
        1005, Level.WARNING, "peer {peer} did not take a message: {reason}"
    )
    DAEMON_RELOADED = EventEntry(
        1006, Level.INFO, "reloaded the settings; changed: {changed}"
    )
    RELAY_LOST = EventEntry(1007, Level.WARNING, "no daemon answers as the leader")
    RELAY_REGAINED = EventEntry(
        1008, Level.INFO, "daemon {leader} answers as the leader"
    )
    REQUEST_RELAYED = EventEntry(
        1009,
        Level.INFO,
        "{method} {path} was answered {status} after {seconds} s, leader {leader}",
    )
    LOOP_LATE = EventEntry(
        1010,
        Level.WARNING,
        "handled inputs or timers {late} s late; {deciding} s for {inputs} inputs,"
        " {queued} queued, {calls} calls in progress",
    )
    ANSWER_MALFORMED = EventEntry(
        1011,
        Level.WARNING,
        "left out {entries} malformed entries of its answer about {kind}, 0 for the"
        " whole answer; {unreported} more such answers since the last report",
    )
    CALL_FAILED = EventEntry(
        1012, Level.ERROR, "the call {action} failed unexpectedly: {error}"
    )
    RELOAD_REFUSED = EventEntry(
        1013, Level.WARNING, "kept the settings in force; the file is invalid: {reason}"
    )
    INCARNATION_NOT_STORED = EventEntry(
        1014, Level.WARNING, "incarnation not stored yet, disk write failed: {reason}"
    )
    EVENT_FILE_LOST = EventEntry(
        1015, Level.WARNING, "event file can't be written, lines are lost: {reason}"
    )
    # Agreement, membership, configuration, keys and portions: 2000 to 2999.
    LEADER_ELECTED = EventEntry(
        2001, Level.INFO, "became leader of the replicated log in term {term}"
    )
    LEADER_STEPPED_DOWN = EventEntry(
        2002, Level.WARNING, "stopped leading in term {term}: {reason}"
    )
    LEADER_CHANGED = EventEntry(
        2003, Level.INFO, "follows leader {leader} in term {term}"
    )
    DISK_FAILED = EventEntry(
        2004, Level.ERROR, "disk write failed; no vote until the disk works: {reason}"
    )
    VOTER_REFUSED = EventEntry(
        2005,
        Level.ERROR,
        "{peer} knows this voter with another disk; no vote until it is admitted",
    )
    VOTER_ADMITTED = EventEntry(2006, Level.INFO, "disk {identity} may vote")
    VOTERS_CHANGED = EventEntry(2007, Level.INFO, "voters are now {voters}")
    SNAPSHOT_TAKEN = EventEntry(
        2008, Level.INFO, "took a snapshot at index {index}, {bytes} bytes"
    )
    SNAPSHOT_INSTALLED = EventEntry(
        2009, Level.INFO, "installed a snapshot at index {index}, {bytes} bytes"
    )
    DISK_RETURNED = EventEntry(
        2010,
        Level.INFO,
        "disk holds the whole state again after {seconds} s; the daemon may vote",
    )
    INCARNATION_OUTDATED = EventEntry(
        2011,
        Level.ERROR,
        "incarnation {incarnation} of this daemon is known, as its clock was set back;"
        " it starts again with a higher one",
    )
    INCARNATION_REFUSED = EventEntry(
        2012,
        Level.ERROR,
        "not heard by daemons that know incarnation {incarnation} of this one; it"
        " starts again once the write to its disk has ended",
    )
    MEMBER_CHANGED = EventEntry(
        2101, Level.INFO, "member is {change}, incarnation {incarnation}"
    )
    FOLDER_ACCEPTED = EventEntry(
        2201, Level.INFO, "configuration generation {generation} is in force"
    )
    KEY_GIVEN = EventEntry(2301, Level.INFO, "key given to team {team}")
    KEY_WITHDRAWN = EventEntry(2302, Level.INFO, "key withdrawn")
    PORTION_RECLAIMED = EventEntry(
        2401, Level.WARNING, "reclaimed the quota portions of a stopped daemon"
    )

    # Requests and targets: 3000 to 3999.
    TARGET_TAKEN = EventEntry(
        3001, Level.INFO, "daemon owns target {target} from epoch {epoch}"
    )
    TARGET_LEAVING = EventEntry(
        3002, Level.INFO, "target {target} is leaving and gets no new work"
    )
    TARGET_EJECTED = EventEntry(
        3003, Level.WARNING, "target {target} failed repeatedly and was ejected"
    )
    REQUEST_ACCEPTED = EventEntry(
        3004, Level.DEBUG, "accepted a request of team {team} on queue {queue}"
    )
    REQUEST_SENT = EventEntry(
        3005, Level.DEBUG, "sent the request to target {target}, attempt {attempt}"
    )
    REQUEST_ENDED = EventEntry(3006, Level.DEBUG, "request ended: {outcome} {reason}")
    REQUESTS_CUT = EventEntry(
        3007,
        Level.WARNING,
        "shutdown deadline aborted {waiting} waiting and {running} running requests",
    )

    # Jobs, pools and waves: 4000 to 4999.
    JOB_SUBMITTED = EventEntry(4001, Level.INFO, "job submitted for team {team}")
    JOB_PLACED = EventEntry(
        4002, Level.INFO, "attempt {attempt} placed on {instance}: {reason}"
    )
    JOB_STARTED = EventEntry(4003, Level.INFO, "attempt {attempt} is running")
    JOB_ATTEMPT_ENDED = EventEntry(4004, Level.INFO, "attempt {attempt} ended: {phase}")
    JOB_CANCELLED = EventEntry(4005, Level.INFO, "the caller cancelled the job")
    JOB_REFUSED = EventEntry(4006, Level.WARNING, "job can never run: {reason}")
    INSTANCE_LOST = EventEntry(4101, Level.WARNING, "instance is lost: {reason}")
    INSTANCE_MOVED = EventEntry(4102, Level.INFO, "instance joined pool {pool}")
    INSTANCE_DRAINING = EventEntry(4103, Level.INFO, "drains for wave {wave}")
    INSTANCE_REBOOTING = EventEntry(4104, Level.INFO, "reboots in wave {wave}")
    INSTANCE_QUARANTINED = EventEntry(4105, Level.WARNING, "quarantined: {reason}")
    INSTANCE_MOVING = EventEntry(
        4106, Level.INFO, "drains to move from {source} to {destination}"
    )
    # Work on a fleet of instances: 5000 to 5999.
    FLEET_CALL_DECIDED = EventEntry(
        5001,
        Level.INFO,
        "answered {status} at index {index} under version {version}: {reason}",
    )
    FLEET_TAKEN_OVER = EventEntry(
        5002, Level.INFO, "took over {instances} instances with {runs} runs"
    )
    FLEET_FENCED = EventEntry(
        5003,
        Level.WARNING,
        "the instance has seen a later leader; no more orders are sent",
    )
    RUN_STARTED = EventEntry(
        5004,
        Level.INFO,
        "run {run} is started on {life}, attempt {attempt}, {free} thousandths of a"
        " core free, version {version}",
    )
    RUN_REFUSED = EventEntry(
        5005,
        Level.INFO,
        "{life} refused attempt {attempt} to start run {run} (answer of: {origin}):"
        " {reason} {detail}",
    )
    RUN_ENDED = EventEntry(5006, Level.INFO, "run {run} on {life} ended: {kind}")
    RUNS_LOST = EventEntry(5007, Level.WARNING, "{runs} runs are lost: {reason}")
    INSTANCE_SILENT = EventEntry(
        5008, Level.WARNING, "the instance with {runs} runs does not answer"
    )
    INSTANCE_READ = EventEntry(
        5009, Level.INFO, "the instance answers and has {runs} runs"
    )
    RUN_EVACUATED = EventEntry(
        5010, Level.INFO, "run {run} is stopped to drain machine {machine}"
    )
    MAINTENANCE_ORDERED = EventEntry(
        5011, Level.INFO, "maintenance of the machine is ordered for wave {wave}"
    )
    MAINTENANCE_ANSWERED = EventEntry(
        5012, Level.INFO, "maintenance order of wave {wave} was answered: {outcome}"
    )
    MACHINE_MOVED = EventEntry(
        5013, Level.INFO, "the machine is moved to pool {service}: {reason}"
    )
    MOVE_REFUSED = EventEntry(
        5014, Level.INFO, "the move of the machine was refused: {reason}"
    )
    MACHINE_RELEASED = EventEntry(
        5060, Level.INFO, "the machine gets no further tasks, so that it can move"
    )
    RUN_PREEMPTED = EventEntry(
        5061,
        Level.INFO,
        "the run is stopped to free machine {machine}, as its job will be late: it has"
        " {remaining} s left, and {unsaved} s are lost",
    )
    POOL_SIZED = EventEntry(
        5015,
        Level.INFO,
        "pool of {machines} machines, {wanted} wanted, {idle} idle; demand {lasting}"
        " lasting, {passing} passing, {deferred} of them late, {expected} expected",
    )
    INSTANCE_DOWN = EventEntry(
        5016,
        Level.WARNING,
        "machine {machine} of a silent instance is down; its {runs} runs are lost",
    )
    ADVICE_GIVEN = EventEntry(
        5017,
        Level.INFO,
        "asked about {asked} instances, {allowed} may run the step (-1: no answer)",
    )
    RUN_PACED = EventEntry(
        5018,
        Level.INFO,
        "run {run} on {life} is limited to {percent} percent; tail latency {tail} ms,"
        " target {target} ms",
    )
    INSTANCE_REMOVED = EventEntry(
        5019, Level.INFO, "the instance is removed with {runs} runs: {reason}"
    )
    MACHINE_GONE = EventEntry(
        5023, Level.INFO, "the machine has left the fleet; wave {wave} waits no longer"
    )
    ANNOUNCEMENT_IGNORED = EventEntry(
        5024, Level.INFO, "the life announces itself, which changes nothing: {reason}"
    )
    INSTANCE_DEREGISTERED = EventEntry(
        5025,
        Level.INFO,
        "the instance deregisters life {born} (0: none named), which concerns {life}",
    )
    INSTANCE_RETURNED = EventEntry(
        5026, Level.WARNING, "the removed life answers at {address} and is registered"
    )
    ANSWER_OF_OTHER_LIFE = EventEntry(
        5028,
        Level.WARNING,
        "a {order} was answered by another life, born {born} (0: not named), whose"
        " clock reads {clock} ms where {expected} ms or up to {window} ms more is"
        " expected; the latest lease was sent {lease_age} s ago (0: none), and ends up"
        " to {acknowledged} are acknowledged",
    )
    RUN_ORPHANED = EventEntry(
        5029,
        Level.INFO,
        "run {run} on {life} may go on in the next life: {starts} starts have no"
        " answer of that life, the latest is {age} s old",
    )
    RUN_ADOPTED = EventEntry(
        5030, Level.INFO, "run {run} may have begun on the next life {life}: stop it"
    )
    LEASE_EXPIRED = EventEntry(
        5031,
        Level.WARNING,
        "the lease of {runs} runs has expired: the latest order that extended it was"
        " sent {lease_age} s ago, the first known contact with this life was {contact}"
        " s ago (0: none)",
    )
    RUN_MISSING = EventEntry(
        5032,
        Level.WARNING,
        "run {run} on {life} counts as ended, as run lists omit it: the latest, of"
        " the life born {born}, at {clock} ms of its clock, has {running} runs and"
        " {ended} ends, {unread_runs} and {unread_ends} more were left out as"
        " malformed; it was requested {requested} s ago, the run was {state},"
        " confirmed {confirmed} s ago (0: not) and first missing {missing} s ago",
    )
    STOP_REFUSED = EventEntry(
        5035,
        Level.INFO,
        "{life} refused to stop run {run} after {attempt} attempts to start it (answer"
        " of: {origin}): {reason} {detail}",
    )
    RUN_HIDDEN = EventEntry(
        5038,
        Level.WARNING,
        "run {run} on {life} is stopped: for {missing} s it has been missing from run"
        " lists that can't be read in full, the latest without {unread_runs} runs and"
        " {unread_ends} ends",
    )
    IDLE_RENEWALS_PAUSED = EventEntry(
        5090,
        Level.WARNING,
        "the event loop is {late} s late: renewals of {idle} idle instances pause",
    )
    IDLE_RENEWALS_RESUMED = EventEntry(
        5091, Level.INFO, "renewals of {idle} idle instances go on after {seconds} s"
    )
    MACHINE_HELD_BACK = EventEntry(
        5027,
        Level.INFO,
        "wave {wave} has not taken down the machine yet: {reason}; {left} s left,"
        " urgent {urgent}",
    )
    MACHINE_REOPENED = EventEntry(
        5033,
        Level.WARNING,
        "the machine takes tasks again, as lasting tasks have no place elsewhere; waves"
        " leave it alone for {pause} s",
    )
    SUBMISSION_REFUSED = EventEntry(
        5070,
        Level.INFO,
        "refused a job of {work} core-seconds of queue {queue}: {backlog} core-seconds"
        " go before it and pool {service} does {supply} until its result has no value;"
        " done in {completion} s, retry after {retry} s, {reserved} callers to return",
    )
    SUBMISSION_IMPOSSIBLE = EventEntry(
        5071, Level.WARNING, "refused a job of queue {queue}: {reason}"
    )
    SUBMISSION_RETURNED = EventEntry(
        5072,
        Level.INFO,
        "admitted a job of queue {queue} ahead of new ones, as its caller returned",
    )
    POOL_OVERLOADED = EventEntry(
        5050,
        Level.INFO,
        "{jobs} jobs with {work} core-seconds wait for {cores} cores, which have"
        " {running} core-seconds of running work ({arriving} machines on their way):"
        " {selected} selected, {dropped} dropped, {late} late, {expired} expired;"
        " {excess} are excess, {kept} kept",
    )
    EVACUATION_CALL_DECIDED = EventEntry(
        5040,
        Level.INFO,
        "order {order} was answered {status} at index {index}: {reason}",
    )
    EVACUATION_STARTED = EventEntry(
        5041,
        Level.WARNING,
        "nothing more is sent to the {instances} instances of the data centre, which"
        " have {runs} runs, {lasting} of them lasting",
    )
    EVACUATION_FINISHED = EventEntry(
        5042, Level.INFO, "the {instances} instances of the data centre take work again"
    )
    RUN_MOVED_AWAY = EventEntry(
        5043,
        Level.INFO,
        "run {run} on {life} is stopped, as data centre {data_centre} is evacuated;"
        " room for its task: {room}",
    )
    WAVE_STARTED = EventEntry(4201, Level.INFO, "run {run} of the wave started")
    WAVE_PAUSED = EventEntry(4202, Level.WARNING, "the wave is paused: {reason}")

    @property
    def number(self) -> int:
        """Number of the event."""
        return self.value.number

    @property
    def level(self) -> Level:
        """Severity of the event."""
        return self.value.level

    @property
    def template(self) -> str:
        """Message template of the event."""
        return self.value.template
