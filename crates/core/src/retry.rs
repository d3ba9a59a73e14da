//! Budget for further attempts of a request.
