package release

// Release is the version of the programs.
const Release = "0.1.0"
