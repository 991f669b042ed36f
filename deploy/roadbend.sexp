; Operators' own settings; docs/settings.md has every key. What is not named here has its default.
(roadbend
  (omega 1.0)
  (mu 1.0)
  (varpi 1.0))
