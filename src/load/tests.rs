mod poll;
mod rank;
mod report;
