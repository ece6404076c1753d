"""Simulated fleet whose daemons have the incarnations of real processes."""

from collections import defaultdict
from random import Random

from gypsumwalk.effects import SendPeer, Stop
from gypsumwalk.incarnations import choose_incarnation
from gypsumwalk.recovery import Recovered
from gypsumwalk.replication import OutdatedIncarnation
from gypsumwalk.wire import Envelope
from tests._fleet_work import FleetWorld

RESTART_SECONDS = 0.8


class ClockWorld(FleetWorld):
    """Daemons with the incarnations and the replay protection of real processes.

    A daemon that ends by itself is started again after a short time, with the
    incarnation that its stop names; one that is killed forgets it. ``incarnations`` has
    those of all processes of each daemon, in their order.
    """

    def __init__(self, *arguments, **options):
        self.incarnations = defaultdict(list)
        self.known_incarnations = {}
        self.starts = 0
        super().__init__(*arguments, **options)

    def restart(self, name):
        daemon = self.daemons[name]
        if daemon.alive:
            self.kill(name)
        recovered = daemon.disk.recover() if daemon.disk else Recovered()
        local_time = daemon.read_clock(self.now)
        self.starts += 1
        random = Random(f"{self.seed} {name} {self.starts}")
        known = self.known_incarnations.pop(name, 0)
        chosen = choose_incarnation(local_time, recovered, random, known)
        daemon.incarnation = chosen - 1
        super().restart(name)
        self.incarnations[name].append(daemon.incarnation)

    def _carry_out_one(self, daemon, effect):
        super()._carry_out_one(daemon, effect)
        if daemon.stopped:
            daemon.stopped = False
            if isinstance(effect, Stop) and effect.known_incarnation:
                self.known_incarnations[daemon.name] = effect.known_incarnation
            self.schedule(RESTART_SECONDS, lambda: self.restart(daemon.name))

    def _receive_peer_message(self, daemon, recipient, item, message_id):
        if self.network.blocks(daemon.place, recipient.place) or not recipient.alive:
            return
        source, incarnation, sequence = message_id
        envelope = Envelope(source, incarnation, recipient.name, sequence, None, None)
        assembly = self.assemblies[recipient.name]
        if assembly.accept(envelope):
            self.deliver(recipient, item)
        elif newer := assembly.find_newer_incarnation(envelope):
            self._send(recipient, SendPeer(source, OutdatedIncarnation(newer)))
