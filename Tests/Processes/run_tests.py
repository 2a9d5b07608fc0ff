"""Runs a module's tests but those that are named: the ones that KNOWN-RED.txt lists."""

import sys
import unittest


def without(suite, left_out):
    kept = unittest.TestSuite()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            kept.addTest(without(test, left_out))
        elif test.id().rsplit(".", 1)[-1] not in left_out:
            kept.addTest(test)
    return kept


if __name__ == "__main__":
    module, *left_out = sys.argv[1:]
    tests = without(unittest.defaultTestLoader.loadTestsFromName(module), left_out)
    sys.exit(not unittest.TextTestRunner().run(tests).wasSuccessful())
