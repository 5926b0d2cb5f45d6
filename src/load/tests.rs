mod held_bytes;
mod rank;
