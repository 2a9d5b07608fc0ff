"""Large bodies take as long at a daemon with the limits of a small machine as at one with a large machine's.

Guards against small buffers in the kernel that stall a transfer until delayed acknowledgements arrive, some 40 ms each.
"""

import unittest

from body_times import MAX_BODY, MEGABYTE, SizedFleet

ROUNDS = 7
# Small machines are held against large ones, since both run on the same busy machine. A single stall in a transfer is
# allowed: the upstream's kernel may bring it about by itself.
MAX_RATIO = 2
STALL_SECONDS = 0.04


class BodyTimes(SizedFleet):
    MACHINES_MB = (260, 16384)

    def check(self, up, down):
        small, large = self.medians(up, down, ROUNDS)
        self.assertLessEqual(small, max(MAX_RATIO * large, large + STALL_SECONDS), f"{up} bytes up and {down} down: {small:.4f} s, {large:.4f} s at a large machine's limits")

    def test_requests(self):
        for size in (72 << 10, 256 << 10, MEGABYTE, MAX_BODY):
            self.check(size, 1)

    def test_answers(self):
        for size in (256 << 10, MEGABYTE, MAX_BODY):
            self.check(1, size)


if __name__ == "__main__":
    unittest.main()
