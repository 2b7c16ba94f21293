"""Developer tools: the test runner, and tests of the documents."""
