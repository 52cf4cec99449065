"""The plugin for asyncio tests, checked in separate pytest runs."""

import pytest

from tests.support import async_tests

pytest_plugins = "pytester"

SHORT_LIMIT_S = 1.0  # ample for a test that does not hang, even on a busy machine


@pytest.fixture
def run_tests(pytester, monkeypatch):
    """Return a function that runs a test module with the plugin and a short time limit."""
    monkeypatch.setattr(async_tests, "TIME_LIMIT_S", SHORT_LIMIT_S)

    def run(source: str) -> pytest.RunResult:
        pytester.makepyfile(source)
        pytester.makeini("[pytest]\nasyncio_mode = auto\nasyncio_default_fixture_loop_scope = function\n")
        return pytester.runpytest_inprocess("-p", "tests.support.async_tests", "-p", "no:xdist", "-v")

    return run


def test_hanging_test_fails_at_the_time_limit_after_its_cleanup(run_tests):
    result = run_tests(
        """
        import asyncio

        import pytest

        closed = []

        @pytest.fixture
        async def resource():
            yield
            closed.append("fixture")

        async def test_hanging(resource):
            try:
                await asyncio.Event().wait()
            finally:
                closed.append("test")

        def test_cleanup():
            assert closed == ["test", "fixture"]
        """
    )
    result.assert_outcomes(passed=1, failed=1)
    result.stdout.fnmatch_lines(["*::test_hanging FAILED*", "*::test_cleanup PASSED*", "*TimeoutError*"])


def test_hanging_case_of_a_parametrized_method_fails_at_the_time_limit(run_tests):
    result = run_tests(
        """
        import asyncio

        import pytest

        class TestCases:
            @pytest.mark.parametrize("delay_s", [0.0, 3600.0])
            async def test_sleeping(self, delay_s):
                await asyncio.sleep(delay_s)
        """
    )
    result.assert_outcomes(passed=1, failed=1)
    result.stdout.fnmatch_lines(["*test_sleeping?0.0? PASSED*", "*test_sleeping?3600.0? FAILED*"])


def test_asyncio_tests_run_on_uvloop_and_keep_their_names(run_tests):
    result = run_tests(
        """
        import asyncio

        import uvloop

        async def test_loop():
            assert isinstance(asyncio.get_running_loop(), uvloop.Loop)
        """
    )
    result.assert_outcomes(passed=1)
    result.stdout.fnmatch_lines(["*::test_loop PASSED*"])


def test_failing_and_plain_tests_keep_their_results(run_tests):
    result = run_tests(
        """
        import asyncio

        async def test_failing():
            await asyncio.sleep(0)
            raise AssertionError("expected failure")

        def test_plain():
            pass
        """
    )
    result.assert_outcomes(passed=1, failed=1)
    result.stdout.fnmatch_lines(["*AssertionError: expected failure*"])
