"""Relays that are killed, paused or partitioned while they hold orders of the owner, on real daemons."""

import pathlib
import re
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform_soak"))

from main import run_tests  # noqa: E402
import soak  # noqa: E402
from cell import Cell  # noqa: E402
from programs import wait_until  # noqa: E402

# Each daemon may use so few cores that the targets are more than an owner calls itself (800 for each
# core), and that all followers are needed as relays (360 targets for each core).
TARGETS, SETTINGS = 12, "limits.cpu_share=0.01\n"
CLIENTS = 8
# Delay of each message at the targets, so that a relay holds the starts of a batch for a while.
TARGET_DELAY_S = 0.1
# Longer than an owner waits for the confirmation of a batch (kBatchTimeout, 1.5 s).
FAULT_S = 3.0
# On a busy machine, a relay may miss the owner's hellos and hold no orders when the fault begins.
ATTEMPTS = 4
# Time for which a relay that was lost gets no orders (kExclusion, 3 s), and time in it in which
# batches that were sent before may still arrive.
EXCLUSION_S, IN_FLIGHT_S = 2.95, 1.0
ORDERS_LINE = b"POST /peer/orders"


class Relays(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(1, targets=TARGETS, settings=SETTINGS, proxied_peers=True)
        self.addCleanup(self.cell.close)
        # Times at which batches of orders for a daemon arrived.
        self.batches = {daemon: [] for daemon in self.cell.daemons}
        for daemon, times in self.batches.items():
            daemon.peers.swallows = lambda line, times=times: self.on_request(line, times)
        self.cell.wait_until_ready()
        wait_until(lambda: self.relays() == 3, "all followers are relays")

    @staticmethod
    def on_request(line, times):
        if line.startswith(ORDERS_LINE):
            times.append(time.time())
        return False

    def relays(self):
        """Number of relays that the owner uses."""
        owner = self.cell.owner()
        counts = re.findall(r" relays count=(\d+)", owner.process.output()) if owner else []
        return int(counts[-1]) if counts else 0

    @staticmethod
    def losses(owner, relay, since=0.0):
        """Times at which the owner has given up the relay, which held orders."""
        line = rf"(?m)^(\d+) .* relay_lost relay={relay.peers.address} .* orders=[1-9]"
        times = [int(at) / 1000 for at in re.findall(line, owner.process.output())]
        return [at for at in times if at >= since]

    def inject(self, apply, heal):
        """Applies a fault to the relay with the most orders; returns whether the owner gave it up
        while it held some."""
        owner, owners = self.cell.owner(), self.cell.owners()
        for times in self.batches.values():
            times.clear()
        wait_until(lambda: any(len(one) > 20 for one in self.batches.values()), "orders")
        # A relay has the targets that are assigned to its address, possibly none.
        relay = max(self.batches, key=lambda one: len(self.batches[one]))
        self.assertIsNot(relay, owner)
        began_at = time.time()
        self.cell.checker.fault_began()
        apply(relay)
        time.sleep(FAULT_S)
        heal(relay)
        self.cell.checker.fault_ended()
        lost = self.losses(owner, relay, began_at)
        if not lost:
            return False
        wait_until(lambda: self.batches[relay][-1] > lost[-1] + EXCLUSION_S, "it gets orders again")
        if owners == self.cell.owners():
            early = [at - since for since in lost for at in self.batches[relay]
                     if since + IN_FLIGHT_S < at < since + EXCLUSION_S]
            self.assertEqual([], early, f"times of batches after the loss of {relay.name}")
        return True

    def check(self, apply, heal):
        """Checks that all accepted jobs end and no guarantee is violated after a relay is lost."""
        self.cell.start_clients(CLIENTS)
        for proxy in self.cell.target_proxies:
            proxy.delay_s = TARGET_DELAY_S
        try:
            lost = any(self.inject(apply, heal) for _ in range(ATTEMPTS))
        finally:
            for proxy in self.cell.target_proxies:
                proxy.delay_s = 0.0
            self.cell.stop_clients()
        self.assertTrue(lost, "the owner gives up a relay that holds orders")
        soak.settle(self.cell)
        self.assertEqual([], self.cell.checker.violations, f"logs: {self.cell.folder}")

    # Guards against orders that are lost with a relay, so that their tasks never end.
    def test_a_relay_is_killed(self):
        def kill(relay):
            relay.pause()  # Callers may get no answers from it until it is started again.
            relay.process.send(signal.SIGKILL)

        self.check(kill, lambda relay: relay.restart(signal.SIGKILL))

    # Guards against a relay that carries out, when it continues, what the owner has given up.
    def test_a_relay_is_paused(self):
        self.check(lambda relay: relay.pause(), lambda relay: relay.resume())

    # Guards against orders that wait for a relay that nothing reaches.
    def test_a_relay_gets_no_batches(self):
        self.check(lambda relay: setattr(relay.peers, "drop_all", True),
                   lambda relay: setattr(relay.peers, "drop_all", False))

    # Guards against a second run of what a relay has carried out whose confirmations are lost.
    def test_a_relay_confirms_no_batches(self):
        self.check(lambda relay: setattr(relay.peers, "drop_replies", True),
                   lambda relay: setattr(relay.peers, "drop_replies", False))


if __name__ == "__main__":
    run_tests()
