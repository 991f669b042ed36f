; Recovery after a restart of all controllers; docs/recovery.md has every key. Switched on by
; `--recovery deploy/recovery.sexp` in the run line.
(recovery
  (gather-most 8)
  (late-write 12))
