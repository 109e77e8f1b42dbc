//! The plain balancer that faults are compared on: round robin, and another
//! try at the next target after any failure.
