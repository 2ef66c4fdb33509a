//! Measurements of a dispatcher among test servers, and the soak that plays round its process and checks it at the sockets.

pub mod soak;
