"""Test support: fake clients and servers, test harnesses, and pytest plugins."""
