"""What several tests share: harnesses, fakes and fixtures."""
