"""Tests that stand beside the package."""
