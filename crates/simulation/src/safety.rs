//! Single requests through every fault at every step.
