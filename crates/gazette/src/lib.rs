//! The event feed of the mesh, decided without I/O.
