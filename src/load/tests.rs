mod rank;
