"""Development tools: code generation, checks and the test runner."""
