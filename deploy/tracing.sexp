; Tracing by OpenTelemetry; docs/tracing.md has every key. Needs the libraries of
; requirements-tracing.txt under target/deps, and is switched on by
; `--tracing deploy/tracing.sexp` in the run line.
(tracing
  (collector "http://127.0.0.1:4318/v1/traces")
  (share 0.1))
