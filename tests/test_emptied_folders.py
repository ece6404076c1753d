"""Tests of data folders whose files are deleted while the process runs."""

import unittest

from tests import test_disk


class TestEmptiedFolder(test_disk.DiskTest):
    """Guards against a voter that restarts without entries it acknowledged (issue 43).

    Its log goes on in a file that has no name any more, while its identity and its vote
    are written to a new file.
    """

    def setUp(self):
        super().setUp()
        self.voter = test_disk.Voter(self.disk)
        self.voter.work()
        for path in self.folder.iterdir():
            path.unlink()

    def check_restart(self):
        """Check that an identity is left only with the entries that it backs."""
        recovered = self.recover()
        if "vote" not in recovered.files:
            return
        restarted = test_disk.make_replica(recovered)
        assert restarted.vote.identity == self.voter.replica.vote.identity
        last, durable = restarted.log.last_index, self.voter.replica.storage.durable
        assert last >= durable, f"{last} of {durable} entries left"

    def test_entries_after_it(self):
        self.voter.append()
        self.check_restart()

    def test_a_vote_after_it(self):
        self.voter.vote()
        self.check_restart()

    def test_work_and_a_retry_after_it(self):
        self.voter.work()
        self.voter.retry()
        self.check_restart()


if __name__ == "__main__":
    unittest.main()
