"""Recovery: reconciles the stored records with the machines after a restart."""
