mod admission;
mod rank;
