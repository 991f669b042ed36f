"""CASA, the community-aware scheduling algorithm: bids, allocation and rescheduling of jobs."""
