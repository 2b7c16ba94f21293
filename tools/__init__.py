"""Developer tools: the test runner and checks of the documents."""
