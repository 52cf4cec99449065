"""Test support: fakes of what surrounds a gateway, harnesses, and the pytest plugin for asyncio tests."""
