"""Talk between controllers: hand-written struct frames on the back address."""
